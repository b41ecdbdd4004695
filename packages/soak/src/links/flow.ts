import type { Socket } from 'node:net';

import type { Shape } from './harm.js';

/** Interval at which a flow that waits looks whether its link is whole again. */
const CHECK_MS = 20;

/** Pause after each piece of what is split. */
const PIECE_PAUSE_MS = 1;

/** Bytes that a flow holds; its source waits beyond. */
const MAX_HELD_BYTES = 65_536;

type Item =
  | { readonly kind: 'bytes'; readonly at: number; readonly bytes: Buffer }
  | { readonly kind: 'end' | 'reset'; readonly at: number };

/** Passes on what one socket receives to another, ends and resets too, in the shape of their link. */
export class Flow {
  #items: Item[] = [];

  #heldBytes = 0;

  #timer: NodeJS.Timeout | null = null;

  #isFull = false;

  #isOver = false;

  constructor(
    readonly source: Socket,
    readonly sink: Socket,
    readonly getShape: () => Shape,
  ) {
    sink.setNoDelay(true);
    source.on('data', (bytes: Buffer) => {
      this.#heldBytes += bytes.length;
      if (this.#heldBytes > MAX_HELD_BYTES) source.pause();
      this.#add({ kind: 'bytes', at: Date.now(), bytes });
    });
    source.on('end', () => this.#add({ kind: 'end', at: Date.now() }));
    source.on('error', () => {
      // A reset overtakes what has not been passed on.
      this.#items = [];
      this.#add({ kind: 'reset', at: Date.now() });
    });
    sink.on('drain', () => {
      this.#isFull = false;
      this.#pass();
    });
    sink.on('close', () => this.#stop());
  }

  #add(item: Item): void {
    if (this.#isOver) return;
    this.#items.push(item);
    this.#pass();
  }

  #pass(): void {
    while (this.#timer === null) {
      const [item] = this.#items;
      if (item === undefined || (this.#isFull && item.kind !== 'reset')) return;
      const shape = this.getShape();
      const waitMs = shape.isCut ? CHECK_MS : item.at + shape.delayMs - Date.now();
      if (waitMs > 0) this.#wait(Math.min(waitMs, CHECK_MS));
      else if (item.kind === 'bytes') this.#passBytes(item.bytes, shape);
      else this.#passEnd(item.kind);
    }
  }

  #passBytes(bytes: Buffer, { bytesPerSecond, pieceBytes }: Shape): void {
    const size = Math.min(pieceBytes, Math.ceil((bytesPerSecond * CHECK_MS) / 1000));
    const piece = bytes.subarray(0, size);
    const rest = bytes.subarray(piece.length);
    const [first] = this.#items.splice(0, 1);
    if (rest.length > 0 && first) this.#items.unshift({ kind: 'bytes', at: first.at, bytes: rest });
    this.#heldBytes -= piece.length;
    if (this.#heldBytes <= MAX_HELD_BYTES) this.source.resume();
    this.#isFull = !this.sink.write(piece);
    const pieceMs = pieceBytes === Infinity ? 0 : PIECE_PAUSE_MS;
    const pauseMs = Math.max((piece.length / bytesPerSecond) * 1000, pieceMs);
    if (pauseMs > 0) this.#wait(pauseMs);
  }

  #passEnd(kind: 'end' | 'reset'): void {
    this.#items.shift();
    if (kind === 'end') this.sink.end();
    else this.sink.resetAndDestroy();
  }

  #wait(ms: number): void {
    this.#timer = setTimeout(() => {
      this.#timer = null;
      this.#pass();
    }, ms);
  }

  #stop(): void {
    if (this.#timer !== null) clearTimeout(this.#timer);
    this.#items = [];
    this.#isOver = true;
    this.source.resume();
  }
}
