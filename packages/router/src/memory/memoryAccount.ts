import { HELD_KINDS, type HeldKind } from './heldKind.js';

/** Knows how many bytes a process holds for others, and how many it may. */
export class MemoryAccount {
  /** Bytes that may be held in all. */
  readonly limitBytes: number;

  readonly #bytes = Object.fromEntries(HELD_KINDS.map((kind) => [kind, 0])) as Record<
    HeldKind,
    number
  >;

  #heldBytes = 0;

  constructor(limitBytes: number) {
    this.limitBytes = limitBytes;
  }

  /** Bytes that are held in all. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Bytes that are held of each kind. */
  get bytesByKind(): Readonly<Record<HeldKind, number>> {
    return this.#bytes;
  }

  /** Enters bytes that are held from now on. */
  add(kind: HeldKind, bytes: number): void {
    this.#bytes[kind] += bytes;
    this.#heldBytes += bytes;
  }

  /** Removes bytes that are held no more. */
  remove(kind: HeldKind, bytes: number): void {
    this.add(kind, -bytes);
  }
}
