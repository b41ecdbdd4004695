import { EventSplitter } from './eventSplitter.js';

/** Fields of events; a comment is none. */
const EVENT_FIELD = /^(?:id|data|event)\b/m;

const DECIMAL_ID = /^\d{1,30}$/;

function parseFirstEventId(events: Buffer): string | null {
  return /^id: ?([^\r\n]*)/m.exec(events.toString('latin1'))?.[1] ?? null;
}

/** Says whether an event comes after another one; ids that are no numbers do not tell. */
function isAfter(id: string, earlierId: string): boolean {
  if (!DECIMAL_ID.test(id) || !DECIMAL_ID.test(earlierId)) return true;
  return BigInt(id) > BigInt(earlierId);
}

/** The events of an attempt that goes on with a stream after an event that another one has sent. */
export class ResumedEvents {
  readonly #lastEventId: string;

  readonly #splitter = new EventSplitter();

  #hasEvents = false;

  #isChecked = false;

  #hasBegunAgain = false;

  constructor(lastEventId: string) {
    this.#lastEventId = lastEventId;
  }

  /** True when a part of an event has come; comments are none. */
  get hasEvents(): boolean {
    return this.#hasEvents;
  }

  /** True when the endpoint does not go on, but sends events from before. */
  get hasBegunAgain(): boolean {
    return this.#hasBegunAgain;
  }

  /** Adds bytes and returns all complete events. */
  push(chunk: Buffer): Buffer {
    const events = this.#splitter.push(chunk);
    this.#hasEvents ||= EVENT_FIELD.test(events.toString('latin1'));
    if (!this.#isChecked) this.#check(events);
    return events;
  }

  #check(events: Buffer): void {
    const id = parseFirstEventId(events);
    if (id === null) return;
    this.#isChecked = true;
    this.#hasBegunAgain = !isAfter(id, this.#lastEventId);
  }
}
