/** One stream at the engine. */
export interface Stream {
  readonly id: string;
  readonly priority: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Prompt tokens still to read before the first token. */
  prefillLeft: number;
  produced: number;
  onToken(index: number, isLast: boolean): void;
}

/** A continuously batching engine's queue and batch: one step gives each stream one token. */
export class EngineQueue {
  readonly running = new Map<string, Stream>();

  readonly waiting: Stream[] = [];

  /** Tokens produced since start. */
  produced = 0;

  readonly #slots: number;

  readonly #prefillPerStep: number;

  constructor(slots: number, prefillPerStep: number) {
    this.#slots = slots;
    this.#prefillPerStep = prefillPerStep;
  }

  /** Adds a stream behind those of its own and of better priorities. */
  add(stream: Stream): void {
    const index = this.waiting.findIndex((other) => other.priority > stream.priority);
    if (index < 0) this.waiting.push(stream);
    else this.waiting.splice(index, 0, stream);
  }

  /** Takes a stream out wherever it is. */
  remove(id: string): void {
    this.running.delete(id);
    const index = this.waiting.findIndex((stream) => stream.id === id);
    if (index >= 0) this.waiting.splice(index, 1);
  }

  /** Runs one step of the batch. */
  step(): void {
    while (this.running.size < this.#slots && this.waiting.length > 0) {
      const next = this.waiting.shift()!;
      this.running.set(next.id, next);
    }
    let prefill = this.#prefillPerStep;
    for (const stream of [...this.running.values()]) {
      if (stream.prefillLeft > 0) {
        const read = Math.min(prefill, stream.prefillLeft);
        stream.prefillLeft -= read;
        prefill -= read;
      }
      if (stream.prefillLeft <= 0) this.#emit(stream);
    }
  }

  #emit(stream: Stream): void {
    const index = stream.produced;
    stream.produced += 1;
    this.produced += 1;
    const isLast = stream.produced >= stream.outputTokens;
    if (isLast) this.running.delete(stream.id);
    stream.onToken(index, isLast);
  }
}
