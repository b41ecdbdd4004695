/** Longest end of an event: two line ends of two characters each. */
const TAIL_CHARACTERS = 4;

const EVENT_END = /(?:\n\n|\r\r|\n\r|\n\r\n|\r\r\n)$/;

/** Tells whether a stream of server-sent events has ended between two events. */
export class EventBoundary {
  #tail = '';

  /** True when the last byte ends an event, or a comment between events. */
  get isAtEventEnd(): boolean {
    return EVENT_END.test(this.#tail);
  }

  /** True before the first byte. */
  get isEmpty(): boolean {
    return this.#tail === '';
  }

  /** Adds the next bytes of the stream. */
  push(chunk: Buffer): void {
    const end = chunk.toString('latin1', Math.max(0, chunk.length - TAIL_CHARACTERS));
    this.#tail = `${this.#tail}${end}`.slice(-TAIL_CHARACTERS);
  }
}
