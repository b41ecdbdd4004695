import { now } from '../clock.js';
import type { AdmittedRequest } from './admitRequest.js';
import type { Attempt } from './attempt.js';
import type { GatewayContext } from './gatewayContext.js';
import { SilenceTimer } from './silenceTimer.js';

/** A repeatable request is stuck after this many latency targets without an answer. */
const STUCK_TARGET_FACTOR = 2.5;

/** A resumable stream is stalled after this many target gaps without an event. */
const STALL_GAP_FACTOR = 5;

/** Minimum silence of a stream that counts as a stall. */
const MIN_STALL_MS = 900;

/** Time in which the last bytes of others arrive that fell silent with an attempt's endpoint. */
const MAX_LAST_BYTES_MS = 500;

/** Time before an attempt counts as stuck at which a service that is not heard is asked. */
const ASK_AHEAD_MS = 250;

/** Finds out whether the attempts of one request are stuck; only one that may run twice is watched. */
export class StuckWatch {
  readonly #context: GatewayContext;

  readonly #admitted: AdmittedRequest;

  readonly #handleStuck: (attempt: Attempt) => void;

  readonly #timer: SilenceTimer;

  /** Time of the latest bytes, or of the send before the first; epoch milliseconds. */
  #heardAt = 0;

  /** True when the service was silent at the latest look. */
  #wasServiceSilent = false;

  constructor(
    context: GatewayContext,
    admitted: AdmittedRequest,
    handleStuck: (attempt: Attempt) => void,
  ) {
    this.#context = context;
    this.#admitted = admitted;
    this.#handleStuck = handleStuck;
    this.#timer = new SilenceTimer(context.loopDelay);
  }

  /** Records bytes of the attempt that is watched, or its send. */
  recordBytes(): void {
    this.#heardAt = now();
    this.#wasServiceSilent = false;
  }

  /** Watches an attempt from now on, in place of the one before. */
  watch(attempt: Attempt, waitMs = this.#stuckTimeMs(attempt)): void {
    if (!this.#admitted.isRepeatable) return;
    const watchedAt = now();
    this.#timer.start(Math.max(0, waitMs - ASK_AHEAD_MS), () => {
      if (attempt.isOver) return;
      this.#askOthers(attempt);
      this.#timer.start(waitMs, () => this.#report(attempt), watchedAt);
    });
  }

  /** One that has ended is not stuck: what becomes of its request is decided elsewhere. */
  #report(attempt: Attempt): void {
    if (!attempt.isOver) this.#handleStuck(attempt);
  }

  /** Ends the watch. */
  stop(): void {
    this.#timer.stop();
  }

  /** True when the whole service has been silent with an attempt's endpoint: another would be, too. */
  isServiceSilent({ endpoint }: Attempt): boolean {
    const isSilent = this.#isSilent(endpoint, 0);
    this.#wasServiceSilent ||= isSilent;
    return isSilent;
  }

  /** Has links to a silent service checked: its endpoints may all give long answers. */
  #askOthers({ endpoint }: Attempt): void {
    if (!this.#isSilent(endpoint, ASK_AHEAD_MS)) return;
    this.#context.contacts.checkOthers(this.#admitted.job.serviceId, endpoint?.id ?? null);
  }

  /** Says whether the service would count as silent if nothing were heard for some time more. */
  #isSilent(endpoint: Attempt['endpoint'], aheadMs: number): boolean {
    const { loopDelay, silences } = this.#context;
    const silentMs = loopDelay.listenedMs(this.#heardAt) + aheadMs;
    const since = this.#heardAt + Math.min(MAX_LAST_BYTES_MS, silentMs / 2);
    return silences.isSilent(this.#admitted.job.serviceId, endpoint?.id ?? null, since);
  }

  /** Starts anew after a silence of the whole service, which is not the attempt's; false without one. */
  startAnew(attempt: Attempt): boolean {
    if (!this.#wasServiceSilent) return false;
    this.recordBytes();
    this.watch(attempt);
    return true;
  }

  /** Silence after which an attempt is replaced, in milliseconds. */
  #stuckTimeMs(attempt: Attempt): number {
    const { route } = this.#admitted;
    const stallMs = Math.max(MIN_STALL_MS, (route.gapTargetMs ?? 0) * STALL_GAP_FACTOR);
    if (attempt.hasAnswered) return stallMs;
    const stuckMs = route.targetMs * STUCK_TARGET_FACTOR;
    const isStream = route.repetition === 'streaming';
    return isStream ? Math.max(stallMs, stuckMs + attempt.predictedMs) : stuckMs;
  }
}
