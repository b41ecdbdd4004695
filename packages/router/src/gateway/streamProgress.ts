import { EventBoundary } from './eventBoundary.js';
import { isFramed } from './headers.js';

/** An endpoint that still answers this long after the first bytes of a stream lives on. */
const LIVED_ON_MS = 250;

/** Maximum size of one event. */
const MAX_EVENT_BYTES = 262_144;

/** What has come of a stream of events. */
export class StreamProgress {
  readonly #boundary = new EventBoundary();

  /** Time of the first bytes; epoch milliseconds. */
  #beganAt: number | null = null;

  #chunks = 0;

  #hasLivedOn = false;

  /** Chunks received; almost always one event each. */
  get chunks(): number {
    return this.#chunks;
  }

  /** True when the endpoint has lived on after it began to answer. */
  get hasLivedOn(): boolean {
    return this.#hasLivedOn;
  }

  /** True when an event is longer than any may be. */
  get isOverlong(): boolean {
    return this.#boundary.openBytes > MAX_EVENT_BYTES;
  }

  /**
   * Adds bytes read `now`; returns true for the first ones that show that the endpoint has lived on.
   * `earliestAt` returns a time before which they cannot have come.
   */
  push(chunk: Buffer, now: number, earliestAt: () => number): boolean {
    this.#chunks += 1;
    this.#boundary.push(chunk);
    this.#beganAt ??= now;
    if (this.#hasLivedOn || now - this.#beganAt < LIVED_ON_MS) return false;
    if (earliestAt() - this.#beganAt < LIVED_ON_MS) return false;
    this.#hasLivedOn = true;
    return true;
  }

  /**
   * Says whether a stream with these headers that ended without an error lacks a part. One that goes
   * on after the last event of another is empty.
   */
  isBrokenOff(headers: readonly string[], isResumed: boolean): boolean {
    if (!this.#boundary.isEmpty) return !this.#boundary.isAtEventEnd;
    // Without a length or chunks nothing but an event tells an answer from a crash.
    return !isFramed(headers) && !isResumed;
  }
}
