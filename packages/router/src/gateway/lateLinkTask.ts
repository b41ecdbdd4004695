import { now } from '../clock.js';
import type { ContactTask } from './contactTask.js';
import type { GatewayLog } from './gatewayLog.js';
import type { PeerLinks } from './peerLinks.js';

/** Time for which an answer of an endpoint in time shows that the links of this VM are on time. */
const PROOF_MS = 1000;

/** Time between two checks of links that may be late. */
const CHECK_INTERVAL_MS = 500;

/**
 * Knows whether the links of this VM are late, by the peers and by the endpoints. Requests that are
 * sent meanwhile would arrive after their callers have left, by way of a peer too.
 */
export class LateLinkTask {
  readonly #peerLinks: Pick<PeerLinks, 'isDoubtful' | 'maintain' | 'provenAt'>;

  readonly #contacts: Pick<ContactTask, 'checkAll' | 'dropLostAttempts' | 'promptAt'>;

  readonly #log: GatewayLog;

  #checkedAt = 0;

  #doubtfulSince: number | null = null;

  #isLate = false;

  constructor(
    peerLinks: Pick<PeerLinks, 'isDoubtful' | 'maintain' | 'provenAt'>,
    contacts: Pick<ContactTask, 'checkAll' | 'dropLostAttempts' | 'promptAt'>,
    log: GatewayLog,
  ) {
    this.#peerLinks = peerLinks;
    this.#contacts = contacts;
    this.#log = log;
  }

  /** True while what is sent arrives late. */
  get isLate(): boolean {
    return this.#isLate;
  }

  /** Time at which bytes left that are known to have arrived in time; see `ArrivalProof`. */
  provenAt(peerId: string | null): number {
    const pingedAt = this.#peerLinks.provenAt(peerId);
    return peerId === null ? Math.max(pingedAt, this.#contacts.promptAt) : pingedAt;
  }

  /** Finds out whether links are late; called by the maintenance timer. */
  maintain(): void {
    this.#peerLinks.maintain(this.#contacts.promptAt);
    const wasLate = this.#isLate;
    this.#isLate = this.#findLate();
    if (this.#isLate) this.#contacts.dropLostAttempts(this.#doubtfulSince!);
    if (this.#isLate !== wasLate) {
      this.#log.change(this.#isLate ? 'links_late' : 'links_on_time', {});
    }
  }

  #findLate(): boolean {
    if (!this.#peerLinks.isDoubtful) {
      this.#doubtfulSince = null;
      return false;
    }
    const instant = now();
    this.#doubtfulSince ??= instant;
    if (instant - this.#checkedAt >= CHECK_INTERVAL_MS) {
      this.#checkedAt = instant;
      this.#contacts.checkAll();
    }
    // The first check may still run.
    if (instant - this.#doubtfulSince < CHECK_INTERVAL_MS) return this.#isLate;
    // What was answered before the doubt shows nothing of it.
    const provenSince = Math.max(this.#doubtfulSince, instant - PROOF_MS);
    return this.#contacts.promptAt < provenSince;
  }
}
