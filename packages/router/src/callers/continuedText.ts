import { AttemptError } from '../endpoints/attemptError.js';
import type { StreamEvent } from '../endpoints/streamEvent.js';

function textOf({ chunk }: StreamEvent): string {
  let text = '';
  for (const choice of chunk.choices) text += choice.delta?.content ?? choice.text ?? '';
  return text;
}

function hasMoreThanText({ chunk }: StreamEvent): boolean {
  return chunk.choices.some(({ delta }) => delta?.tool_calls !== undefined);
}

/** Keeps what a caller has of an answer, so that a new attempt continues it and nothing else. */
export class ContinuedText {
  #sent = '';

  #repeated = 0;

  #isRepeatable = true;

  /** Expects the answer from its beginning again. Throws AttemptError when it can't be told apart. */
  restart(): void {
    this.#repeated = 0;
    if (this.#isRepeatable) return;
    throw new AttemptError('invalid', 'ran', 'what the caller has cannot be continued');
  }

  /** Returns the events that the caller does not have. Throws AttemptError on another text. */
  takeNew(events: readonly StreamEvent[]): readonly StreamEvent[] {
    // Hot path: in the first attempt nothing is compared.
    if (this.#repeated < this.#sent.length) return this.#skip(events);
    for (const event of events) this.#add(event);
    return events;
  }

  #add(event: StreamEvent): void {
    this.#sent += textOf(event);
    this.#repeated = this.#sent.length;
    if (hasMoreThanText(event)) this.#isRepeatable = false;
  }

  #skip(events: readonly StreamEvent[]): StreamEvent[] {
    const fresh: StreamEvent[] = [];
    for (const event of events) {
      if (this.#repeated >= this.#sent.length) {
        this.#add(event);
        fresh.push(event);
        continue;
      }
      const text = textOf(event);
      if (!this.#sent.startsWith(text, this.#repeated)) {
        throw new AttemptError('invalid', 'ran', 'the new attempt gave another text');
      }
      this.#repeated += text.length;
    }
    return fresh;
  }
}
