import type { RegisteredEndpoint } from '@filbertlatch/core';

import { now } from '../clock.js';
import { AnswerContinuity } from './answerContinuity.js';
import type { GatewayLog } from './gatewayLog.js';
import type { PinnedConnection } from './pinnedConnection.js';
import type { Liveness, LivenessTask } from './livenessTask.js';

/**
 * Time after the send from which a request without an answer uses a pinned connection, in milliseconds.
 * The connection has to answer before another process could have taken the place of the one that was asked.
 */
const PIN_AFTER_MS = 200;

/** Interval at which an unfinished answer uses its pinned connection, in milliseconds. */
const USE_INTERVAL_MS = 250;

/** What a check shows of an endpoint that lives. */
const LIVING: ReadonlySet<Liveness> = new Set<Liveness>(['alive', 'open']);

/**
 * Shows whether the very process that gives an answer outlives it. The endpoint's id does not: an
 * endpoint may start again under it, behind a cut or while this VM stands still.
 */
export class EndProof {
  readonly #liveness: LivenessTask;

  readonly #endpoint: RegisteredEndpoint;

  readonly #log: GatewayLog;

  #sentAt = now();

  #continuity = new AnswerContinuity(this.#sentAt);

  /** True when only the end of the connection delimits the answer. */
  #isUnframed = false;

  /** Uses the pinned connection next. */
  #timer: NodeJS.Timeout | null = null;

  /** A connection to the process that gives the answer; null while none is known. */
  #pinned: PinnedConnection | null = null;

  constructor(liveness: LivenessTask, endpoint: RegisteredEndpoint, log: GatewayLog) {
    this.#liveness = liveness;
    this.#endpoint = endpoint;
    this.#log = log;
  }

  /** Time since the latest bytes, or the send, in milliseconds. */
  get silentMs(): number {
    return now() - this.#continuity.heardAt;
  }

  /** Records that the request is sent. */
  recordSend(): void {
    this.#sentAt = now();
    this.#continuity = new AnswerContinuity(this.#sentAt);
    this.#adoptPinned();
    this.stop();
    this.#usePinnedAfter(PIN_AFTER_MS);
  }

  /** Records that the head of the answer was read; `isUnframed` says whether only its connection will tell its end. */
  recordHead(isUnframed: boolean): void {
    this.#isUnframed = isUnframed;
    if (!isUnframed) this.stop();
    this.recordBytes();
  }

  /** Records that bytes of the answer were read. */
  recordBytes(): void {
    // Before they end a silence: the connection may have answered within it.
    if (this.#isUnframed) this.#adoptPinned();
    this.#continuity.recordBytes(now());
    if (this.#isUnframed && this.#pinned?.isOpen !== true) this.#liveness.pin(this.#endpoint);
  }

  /** Stops using the pinned connection; the answer has ended, or its end needs no proof. */
  stop(): void {
    if (this.#timer !== null) clearTimeout(this.#timer);
    this.#timer = null;
  }

  #usePinnedAfter(delayMs: number): void {
    this.#timer = setTimeout(() => {
      this.#adoptPinned();
      this.#liveness.pin(this.#endpoint);
      this.#usePinnedAfter(USE_INTERVAL_MS);
    }, delayMs).unref();
  }

  /** Finds out whether the endpoint has outlived the answer, which has ended; never rejects. */
  async check(): Promise<Liveness> {
    this.#adoptPinned();
    const { liveness, pinned } = await this.#liveness.check(this.#endpoint);
    if (!LIVING.has(liveness)) return liveness;
    const isSameProcess =
      (pinned !== null && pinned === this.#pinned) || this.#continuity.holdsAt(now());
    if (isSameProcess) return liveness;
    this.#logUnproven(liveness);
    return 'unknown';
  }

  /** Logs what was known of the process; the times of the pinned connection count from the send. */
  #logUnproven(liveness: Liveness): void {
    const latest = this.#liveness.findPinned(this.#endpoint);
    const sinceSentMs = (at: number | null) => (at === null ? null : Math.round(at - this.#sentAt));
    this.#log.decision('endpoint_end_unproven', {
      endpointId: this.#endpoint.id,
      liveness,
      hasPinned: this.#pinned !== null,
      isPinnedOpen: this.#pinned?.isOpen ?? null,
      latestOpenedMs: sinceSentMs(latest?.openedAt ?? null),
      latestAnsweredMs: sinceSentMs(latest?.answeredAt ?? null),
      sinceSentMs: sinceSentMs(now()),
      silentMs: Math.round(this.silentMs),
    });
  }

  /** What is reached by the pinned connection at a time at which the answer's process lives is that process. */
  #adoptPinned(): void {
    if (this.#pinned?.isOpen === true) return;
    const pinned = this.#liveness.findPinned(this.#endpoint);
    if (pinned === null) return;
    const reachedAt = this.#liveness.reachedAt(pinned);
    if (reachedAt === null) return;
    const at = Math.max(reachedAt, this.#continuity.heardAt);
    if (this.#continuity.holdsAt(at)) this.#pinned = pinned;
  }
}
