import { lastContactAt, lastPeerContactAt, lostSince, silenceOf } from '@filbertlatch/core';

import { now } from '../clock.js';
import type { GatewayState } from './gatewayState.js';
import type { LinkChecks } from './linkChecks.js';
import type { LoopDelay } from './loopDelay.js';

/** Time without a byte from a service that has requests of this VM after which links are checked. */
const SILENCE_MS = 350;

/** The same where peers have not heard from the service either. */
const LONG_SILENCE_MS = 700;

/** Shortest and longest time between two checks for silence; doubled while links prove sound. */
const MIN_CHECK_INTERVAL_MS = 500;
const MAX_CHECK_INTERVAL_MS = 4000;

/** What the silence of a service's endpoints has shown. */
interface Watch {
  /** Time since which this VM has had requests there; null without any. */
  busySince: number | null;
  /** Time before which no check is due. */
  nextCheckAt: number;
  intervalMs: number;
}

/** Has links checked to services from which this VM hears nothing although it has requests there. */
export class SilenceWatch {
  readonly #state: GatewayState;

  readonly #checks: LinkChecks;

  readonly #loopDelay: LoopDelay;

  /** By service id. */
  readonly #watches = new Map<string, Watch>();

  constructor(state: GatewayState, checks: LinkChecks, loopDelay: LoopDelay) {
    this.#state = state;
    this.#checks = checks;
    this.#loopDelay = loopDelay;
  }

  /** Begins the checks that are due; `heardAt` says when each service was last heard. */
  maintain(heardAt: ReadonlyMap<string, number>): void {
    const { contacts } = this.#state;
    const busy = this.#listBusyServices();
    const instant = now();
    heardAt.forEach((heard, serviceId) => {
      const watch = this.#watches.get(serviceId) ?? {
        busySince: null,
        nextCheckAt: 0,
        intervalMs: MIN_CHECK_INTERVAL_MS,
      };
      this.#watches.set(serviceId, watch);
      watch.busySince = busy.has(serviceId) ? (watch.busySince ?? instant) : null;
      const quietSince = Math.max(heard, watch.busySince ?? instant);
      const silentMs = this.#loopDelay.listenedMs(quietSince);
      if (silentMs < SILENCE_MS || lostSince(contacts, serviceId) !== null) return;
      // One that is known to be silent is checked all the time.
      if (silenceOf(contacts, serviceId) !== null) return;
      // Where no peer hears anything either, the endpoints may be slow.
      const isDoubtful =
        lastPeerContactAt(contacts, serviceId) > quietSince || silentMs >= LONG_SILENCE_MS;
      if (instant < watch.nextCheckAt || !isDoubtful) return;
      void this.#check(serviceId, watch);
    });
  }

  #listBusyServices(): Set<string> {
    const { directory, scheduling } = this.#state;
    const busy = new Set<string>();
    scheduling.work.forEach(({ own }, id) => {
      const serviceId = directory.endpoints.get(id)?.serviceId;
      if (serviceId !== undefined && own.waiting + own.streaming > 0) busy.add(serviceId);
    });
    return busy;
  }

  async #check(serviceId: string, watch: Watch): Promise<void> {
    const startedAt = now();
    watch.nextCheckAt = Number.POSITIVE_INFINITY;
    await this.#checks.check(serviceId);
    const isSound = lastContactAt(this.#state.contacts, serviceId) >= startedAt;
    const longerMs = Math.min(MAX_CHECK_INTERVAL_MS, 2 * watch.intervalMs);
    watch.intervalMs = isSound ? longerMs : MIN_CHECK_INTERVAL_MS;
    watch.nextCheckAt = now() + watch.intervalMs;
  }
}
