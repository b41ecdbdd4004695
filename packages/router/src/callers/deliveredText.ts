import { AttemptError } from '../endpoints/attemptError.js';
import type { StreamEvent } from '../endpoints/streamEvent.js';

function textOf({ chunk }: StreamEvent): string {
  let text = '';
  for (const choice of chunk.choices) text += choice.delta?.content ?? choice.text ?? '';
  return text;
}

function hasToolCall({ chunk }: StreamEvent): boolean {
  return chunk.choices.some(({ delta }) => delta?.tool_calls !== undefined);
}

/**
 * Keeps the text of a stream that the caller already has. After a retry it drops the part that the
 * new attempt repeats, and fails the attempt if its text differs.
 */
export class DeliveredText {
  #text = '';

  /** Characters of the delivered text that the present attempt has matched. */
  #matchedLength = 0;

  #isTextOnly = true;

  /**
   * Starts to compare the answer from its beginning again. Throws AttemptError when tool calls were
   * delivered, as only text is compared.
   */
  restart(): void {
    this.#matchedLength = 0;
    if (this.#isTextOnly) return;
    throw new AttemptError('invalid', 'ran', 'a partly delivered tool call cannot be continued');
  }

  /** Returns the events that the caller does not have. Throws AttemptError if the text differs. */
  takeNew(events: readonly StreamEvent[]): readonly StreamEvent[] {
    // Hot path: nothing is compared in the first attempt.
    if (this.#matchedLength < this.#text.length) return this.#skipDelivered(events);
    for (const event of events) this.#add(event);
    return events;
  }

  #add(event: StreamEvent): void {
    this.#text += textOf(event);
    this.#matchedLength = this.#text.length;
    if (hasToolCall(event)) this.#isTextOnly = false;
  }

  #skipDelivered(events: readonly StreamEvent[]): StreamEvent[] {
    const fresh: StreamEvent[] = [];
    for (const event of events) {
      if (this.#matchedLength >= this.#text.length) {
        this.#add(event);
        fresh.push(event);
        continue;
      }
      const text = textOf(event);
      if (!this.#text.startsWith(text, this.#matchedLength)) {
        throw new AttemptError(
          'invalid',
          'ran',
          'the new attempt differs from the text already delivered',
        );
      }
      this.#matchedLength += text.length;
    }
    return fresh;
  }
}
