/** Ends of an event: a line end and an empty line. */
const EVENT_ENDS = ['\n\n', '\r\r', '\n\r\n'];

/** Bytes before a chunk that may belong to an event end which the chunk completes. */
const TAIL_BYTES = 2;

/** Returns the index after the last event end; 0 when there is none. */
function findLastEventEnd(bytes: Buffer): number {
  const ends = EVENT_ENDS.map((end) => {
    const index = bytes.lastIndexOf(end);
    return index < 0 ? 0 : index + end.length;
  });
  return Math.max(...ends);
}

function parseLastEventId(events: string): string | null {
  let id: string | null = null;
  for (const match of events.matchAll(/^id: ?([^\r\n]*)/gm)) id = match[1]!;
  return id;
}

/**
 * Splits a server-sent event stream at event ends, so that it can resume after its last complete
 * event.
 */
export class EventSplitter {
  /** Bytes of an incomplete event; kept apart, since joining them for each chunk costs too much. */
  #pending: Buffer[] = [];

  /** Last bytes of the stream. */
  #tail: Buffer = Buffer.alloc(0);

  #lastEventId: string | null;

  /** `lastEventId` is that of the event after which the stream goes on; null when it begins. */
  constructor(lastEventId: string | null = null) {
    this.#lastEventId = lastEventId;
  }

  /** Id of the last complete event that had one. */
  get lastEventId(): string | null {
    return this.#lastEventId;
  }

  /** Adds bytes and returns all complete events. */
  push(chunk: Buffer): Buffer {
    const tailed = Buffer.concat([this.#tail, chunk]);
    const end = findLastEventEnd(tailed) - this.#tail.length;
    this.#tail = Buffer.from(tailed.subarray(-TAIL_BYTES));
    if (end <= 0) {
      this.#pending.push(chunk);
      return Buffer.alloc(0);
    }
    const whole = Buffer.concat([...this.#pending, chunk.subarray(0, end)]);
    this.#pending = end < chunk.length ? [chunk.subarray(end)] : [];
    this.#lastEventId = parseLastEventId(whole.toString('latin1')) ?? this.#lastEventId;
    return whole;
  }

  /** Discards an incomplete event. */
  dropPartial(): void {
    this.#pending = [];
    this.#tail = Buffer.alloc(0);
  }
}
