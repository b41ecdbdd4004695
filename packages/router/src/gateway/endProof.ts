import type { RegisteredEndpoint } from '@filbertlatch/core';

import { now } from '../clock.js';
import { AnswerContinuity } from './answerContinuity.js';
import type { GatewayLog } from './gatewayLog.js';
import type { LifetimeWitness } from './lifetimeWitness.js';
import type { Liveness, LivenessTask } from './livenessTask.js';

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

  #continuity = new AnswerContinuity(now());

  /** True when only the end of the connection delimits the answer. */
  #isNeeded = false;

  /** A connection to the process that gives the answer; null while none is known. */
  #witness: LifetimeWitness | null = null;

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
    this.#continuity = new AnswerContinuity(now());
    this.#adoptWitness();
  }

  /** Records that bytes of the answer were read. */
  recordBytes(): void {
    this.#adoptWitness();
    this.#continuity.recordBytes(now());
    if (this.#isNeeded && this.#witness?.isOpen !== true) this.#liveness.watch(this.#endpoint);
  }

  /** Has the endpoint watched until the answer ends: it has neither a length nor chunks. */
  require(): void {
    this.#isNeeded = true;
    this.#liveness.watch(this.#endpoint);
  }

  /** Finds out whether the endpoint has outlived the answer, which has ended; never rejects. */
  async check(): Promise<Liveness> {
    this.#adoptWitness();
    const { liveness, witness } = await this.#liveness.check(this.#endpoint);
    if (!LIVING.has(liveness)) return liveness;
    const isSameProcess =
      (witness !== null && witness === this.#witness) || this.#continuity.holdsAt(now());
    if (isSameProcess) return liveness;
    this.#log.decision('endpoint_end_unproven', {
      endpointId: this.#endpoint.id,
      liveness,
      hasWitness: this.#witness !== null,
      silentMs: Math.round(this.silentMs),
    });
    return 'unknown';
  }

  /** Whoever has answered on the endpoint's witness while the answer's process lived is that process. */
  #adoptWitness(): void {
    if (this.#witness?.isOpen === true) return;
    const witness = this.#liveness.findWitness(this.#endpoint);
    if (witness?.answeredAt == null) return;
    const at = Math.max(witness.answeredAt, this.#continuity.heardAt);
    if (this.#continuity.holdsAt(at)) this.#witness = witness;
  }
}
