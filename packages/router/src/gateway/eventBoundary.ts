/** Longest end of an event: two line ends of two characters each. */
const TAIL_CHARACTERS = 4;

const EVENT_END = /\n\n|\r\r|\n\r\n/;
const EVENT_END_AT_END = /(?:\n\n|\r\r|\n\r|\n\r\n|\r\r\n)$/;

/** Tells whether a stream of server-sent events has ended between two events. */
export class EventBoundary {
  #tail = '';

  #openBytes = 0;

  /** True when the last byte ends an event, or a comment between events. */
  get isAtEventEnd(): boolean {
    return EVENT_END_AT_END.test(this.#tail);
  }

  /** True before the first byte. */
  get isEmpty(): boolean {
    return this.#tail === '';
  }

  /** Bytes since the last chunk in which an event ended. */
  get openBytes(): number {
    return this.#openBytes;
  }

  /** Adds the next bytes of the stream. */
  push(chunk: Buffer): void {
    const text = `${this.#tail}${chunk.toString('latin1')}`;
    this.#openBytes = EVENT_END.test(text) ? 0 : this.#openBytes + chunk.length;
    this.#tail = text.slice(-TAIL_CHARACTERS);
  }
}
