import { now } from '../clock.js';
import type { LoopDelay } from './loopDelay.js';

/** Time left that is not waited for once more. */
const MIN_WAIT_MS = 1;

/** Tells how long this process has listened since an instant, in milliseconds. */
export type ListeningClock = Pick<LoopDelay, 'listenedMs'>;

/**
 * Calls back when something has been silent for a time in which this process listened, and after what
 * has arrived was read.
 */
export class SilenceTimer {
  readonly #clock: ListeningClock;

  #timer: NodeJS.Timeout | null = null;

  /** Differs for each start, so that a callback of an earlier one is ignored. */
  #run = 0;

  constructor(clock: ListeningClock) {
    this.#clock = clock;
  }

  /** Starts to wait, in place of what it waits for now; the silence has begun at `since`. */
  start(silenceMs: number, callback: () => void, since = now()): void {
    this.stop();
    this.#wait(silenceMs, since, this.#run, callback);
  }

  /** Stops waiting. */
  stop(): void {
    this.#run += 1;
    if (this.#timer !== null) clearTimeout(this.#timer);
    this.#timer = null;
  }

  #wait(silenceMs: number, since: number, run: number, callback: () => void): void {
    const leftMs = Math.max(0, silenceMs - this.#clock.listenedMs(since));
    // Timers may run before the sockets are read, and a close that is read is reported after immediates.
    this.#timer = setTimeout(
      () => setImmediate(() => setImmediate(() => this.#check(silenceMs, since, run, callback))),
      leftMs,
    );
  }

  #check(silenceMs: number, since: number, run: number, callback: () => void): void {
    if (run !== this.#run) return;
    const stillMs = silenceMs - this.#clock.listenedMs(since);
    if (stillMs > MIN_WAIT_MS) this.#wait(silenceMs, since, run, callback);
    else callback();
  }
}
