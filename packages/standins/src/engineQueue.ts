/** One request of an engine, waiting or in the batch. */
export interface Stream {
  readonly id: string;
  /** Lower values run first. */
  readonly priority: number;
  readonly promptTokens: number;
  /** Length of the whole answer. */
  readonly outputTokens: number;
  /** Prompt tokens still to prefill before the first output token. */
  promptTokensLeft: number;
  /** Output tokens produced so far. */
  outputTokensProduced: number;
  /** Called for each output token, counted from 0. */
  onToken(index: number, isLast: boolean): void;
}

/**
 * The queue and batch of an engine with continuous batching. One step gives a token to each stream
 * whose prompt is prefilled.
 */
export class EngineQueue {
  readonly running = new Map<string, Stream>();

  readonly waiting: Stream[] = [];

  /** Output tokens produced for all streams since start. */
  producedTokens = 0;

  readonly #slots: number;

  readonly #prefillTokensPerStep: number;

  constructor(slots: number, prefillTokensPerStep: number) {
    this.#slots = slots;
    this.#prefillTokensPerStep = prefillTokensPerStep;
  }

  /** Queues a stream behind those of the same or a lower priority value. */
  add(stream: Stream): void {
    const index = this.waiting.findIndex((other) => other.priority > stream.priority);
    if (index < 0) this.waiting.push(stream);
    else this.waiting.splice(index, 0, stream);
  }

  /** Removes a stream from the batch or the queue. */
  remove(id: string): void {
    this.running.delete(id);
    const index = this.waiting.findIndex((stream) => stream.id === id);
    if (index >= 0) this.waiting.splice(index, 1);
  }

  /** Fills the free slots from the queue and runs one step of the batch. */
  step(): void {
    while (this.running.size < this.#slots && this.waiting.length > 0) {
      const next = this.waiting.shift()!;
      this.running.set(next.id, next);
    }
    let prefillTokensLeft = this.#prefillTokensPerStep;
    for (const stream of [...this.running.values()]) {
      if (stream.promptTokensLeft > 0) {
        const read = Math.min(prefillTokensLeft, stream.promptTokensLeft);
        stream.promptTokensLeft -= read;
        prefillTokensLeft -= read;
      }
      if (stream.promptTokensLeft <= 0) this.#emit(stream);
    }
  }

  #emit(stream: Stream): void {
    const index = stream.outputTokensProduced;
    stream.outputTokensProduced += 1;
    this.producedTokens += 1;
    const isLast = stream.outputTokensProduced >= stream.outputTokens;
    if (isLast) this.running.delete(stream.id);
    stream.onToken(index, isLast);
  }
}
