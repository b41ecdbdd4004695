import { now } from '../clock.js';
import type { Attempt, AttemptObserver, RawAnswerHead } from './attempt.js';
import type { AttemptFailure } from './endpointRequest.js';
import type { LoopDelay } from './loopDelay.js';
import { SilenceTimer } from './silenceTimer.js';

/** Time for which a held attempt is kept without a byte when its endpoint may work beside another. */
const MAX_BESIDE_MS = 250;

/** Interval at which a held attempt is looked at. */
const LOOK_INTERVAL_MS = 50;

/** Receives the events of the attempt that goes on, and what becomes of one that is held. */
export interface PairObserver extends AttemptObserver {
  /** True while no endpoint can be reached. */
  isLost(): boolean;
  /** False for an answer that is not what the caller waits for. */
  isUseful(head: RawAnswerHead): boolean;
  /** False for an attempt that must not be the only one left: nothing shows that it will answer. */
  maySucceed(attempt: Attempt): boolean;
  /** A held attempt goes on; the one that was sent in its place is cancelled. */
  wentOn(attempt: Attempt): void;
  /** A held attempt is to be given up, since the current one goes on. */
  replaced(attempt: Attempt): void;
  /** A held attempt has ended without an answer; `failure` is null when its endpoint refused it. */
  heldEnded(attempt: Attempt, failure: AttemptFailure | null): void;
}

/**
 * The attempts of one request that may still answer: the current one, and one whose connection is open
 * and silent, which is held until the current one answers or has taken the request. The one that brings the next
 * bytes goes on.
 */
export class AttemptPair {
  readonly #observer: PairObserver;

  readonly #listenedMs: (since: number) => number;

  readonly #timer: SilenceTimer;

  #current: Attempt | null = null;

  #held: Attempt | null = null;

  constructor(loopDelay: LoopDelay, observer: PairObserver) {
    this.#observer = observer;
    this.#listenedMs = (since) => loopDelay.listenedMs(since);
    this.#timer = new SilenceTimer(loopDelay);
  }

  /** The latest attempt, also when it has ended; null before the first. */
  get current(): Attempt | null {
    return this.#current;
  }

  /** An attempt that the current one may replace; null without one. */
  get held(): Attempt | null {
    return this.#held;
  }

  /** The attempts that may still answer. */
  get open(): Attempt[] {
    return [this.#held, this.#current].filter(
      (attempt): attempt is Attempt => attempt !== null && !attempt.isOver,
    );
  }

  /** Makes a new attempt the current one; one that is held stays so. */
  begin(create: (observer: AttemptObserver) => Attempt): Attempt {
    const created: { attempt: Attempt | null } = { attempt: null };
    const attempt = create(this.#observe(() => created.attempt!));
    created.attempt = attempt;
    this.#current = attempt;
    // A VM that refuses has run nothing.
    if (this.#held !== null) this.#lookAgain(null);
    return attempt;
  }

  /** Holds the current attempt while another is tried in its place. */
  hold(): void {
    this.#held = this.#current;
    this.#lookAgain(null);
  }

  /** Makes the held attempt the current one again: what was sent in its place has ended. */
  goBack(): Attempt {
    const attempt = this.#held!;
    this.#current = attempt;
    this.#release();
    return attempt;
  }

  /** Stops the timer. */
  stop(): void {
    this.#timer.stop();
  }

  #observe(attemptOf: () => Attempt): AttemptObserver {
    const observer = this.#observer;
    const isHeld = () => attemptOf() === this.#held;
    return {
      isAwaited: () => observer.isAwaited(),
      sent: () => observer.sent(),
      livedOn: () => observer.livedOn(),
      streamed: (head, bytes) => {
        if (bytes.length > 0 || isHeld()) this.#settle(attemptOf());
        return observer.streamed(head, bytes);
      },
      streamEnded: (head) => {
        this.#settle(attemptOf());
        observer.streamEnded(head);
      },
      answered: (head, body) => {
        const isUseful = observer.isUseful(head);
        if (isUseful) this.#settle(attemptOf());
        if (isUseful || !isHeld()) observer.answered(head, body);
        else this.#endHeld(null);
      },
      notRun: (reason) => (isHeld() ? this.#endHeld(null) : observer.notRun(reason)),
      withheld: () => (isHeld() ? this.#endHeld(null) : observer.withheld()),
      refused: (refusal) => (isHeld() ? this.#endHeld(null) : observer.refused(refusal)),
      failed: (failure) => (isHeld() ? this.#endHeld(failure) : observer.failed(failure)),
    };
  }

  /** Lets one of two attempts go on, and ends the other. */
  #settle(attempt: Attempt): void {
    const held = this.#held;
    if (held === null) return;
    if (attempt !== held) {
      this.#replaceHeld(held);
      return;
    }
    if (this.#current !== held) this.#current?.cancel('abandoned');
    this.#observer.wentOn(this.goBack());
  }

  #replaceHeld(held: Attempt): void {
    this.#release();
    this.#observer.replaced(held);
  }

  #endHeld(failure: AttemptFailure | null): void {
    const attempt = this.#held!;
    this.#release();
    this.#observer.heldEnded(attempt, failure);
  }

  #release(): void {
    this.#held = null;
    this.#timer.stop();
  }

  /**
   * Ends one of two attempts that bring nothing though there are links again, or another VM seems to
   * have taken the request: it has neither refused nor answered for some time. `besideSince` is the
   * time from which on both may run; epoch milliseconds, null while they do not.
   */
  #lookAgain(besideSince: number | null, waitMs = LOOK_INTERVAL_MS): void {
    this.#timer.start(waitMs, () => {
      const held = this.#held;
      if (held === null) return;
      const sentAt = this.#replacementSentAt(held);
      const isAlone = this.#observer.isLost() && sentAt === null;
      const since = isAlone ? null : (besideSince ?? sentAt ?? now());
      // Not by the number of looks: each of them may be late.
      const leftMs = since === null ? MAX_BESIDE_MS : MAX_BESIDE_MS - this.#listenedMs(since);
      if (leftMs <= 0) this.#settle(this.#chooseSilent(held));
      else this.#lookAgain(since, Math.min(LOOK_INTERVAL_MS, leftMs));
    });
  }

  /** Chooses which of two silent attempts goes on. */
  #chooseSilent(held: Attempt): Attempt {
    const current = this.#current!;
    return this.#observer.maySucceed(current) ? current : held;
  }

  /** Returns when the request left for the other attempt; null before that. */
  #replacementSentAt(held: Attempt): number | null {
    return this.#current === held ? null : (this.#current?.times.startedAt ?? null);
  }
}
