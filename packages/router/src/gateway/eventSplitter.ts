const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Maximum size of an incomplete event; a larger one is malformed. */
const MAX_EVENT_BYTES = 1_048_576;

/** Returns the index after the first blank line; -1 when there is none. */
function findEventEnd(bytes: Buffer, from: number): number {
  let lineStart = from;
  for (let index = bytes.indexOf(LINE_FEED, from); index >= 0;) {
    const isBlank =
      index === lineStart || (index === lineStart + 1 && bytes[lineStart] === CARRIAGE_RETURN);
    if (isBlank) return index + 1;
    lineStart = index + 1;
    index = bytes.indexOf(LINE_FEED, lineStart);
  }
  return -1;
}

function parseEventId(event: string): string | null {
  const match = /^id: ?([^\r\n]*)/m.exec(event);
  return match === null ? null : match[1]!;
}

/**
 * Splits a server-sent event stream at event ends, so that it can resume after its last complete
 * event.
 */
export class EventSplitter {
  #pending: Buffer = Buffer.alloc(0);

  #lastEventId: string | null = null;

  /** Id of the last complete event that had one. */
  get lastEventId(): string | null {
    return this.#lastEventId;
  }

  /** Adds bytes and returns all complete events; throws RangeError beyond the size limit. */
  push(chunk: Buffer): Buffer {
    this.#pending = this.#pending.length === 0 ? chunk : Buffer.concat([this.#pending, chunk]);
    let end = 0;
    for (let next = findEventEnd(this.#pending, 0); next >= 0;) {
      const id = parseEventId(this.#pending.toString('latin1', end, next));
      if (id !== null) this.#lastEventId = id;
      end = next;
      next = findEventEnd(this.#pending, end);
    }
    const whole = this.#pending.subarray(0, end);
    this.#pending = this.#pending.subarray(end);
    if (this.#pending.length > MAX_EVENT_BYTES) throw new RangeError('event exceeds size limit');
    return whole;
  }

  /** Discards an incomplete event. */
  dropPartial(): void {
    this.#pending = Buffer.alloc(0);
  }
}
