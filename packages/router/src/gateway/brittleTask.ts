import {
  addWaiter,
  hasOwnSlot,
  holdEndpointSlot,
  isBrittle,
  listReadyEndpoints,
  meanRunMs,
  predictWaitMs,
  recordBrittle,
  recordRun,
  recordSound,
  recordTurnedAway,
  releaseEndpointSlot,
  removeEndedBrittleness,
  removeWaiter,
  setSharingVms,
  takeWaiter,
  type Job,
  type RegisteredEndpoint,
  type RequestPermits,
  type Waiter,
} from '@filbertlatch/core';

import { now } from '../clock.js';
import type { AnswerMetadata } from './dialect.js';
import type { GatewayLog } from './gatewayLog.js';
import type { GatewayState } from './gatewayState.js';
import type { LoopDelay } from './loopDelay.js';

/** An endpoint may still have a request for this long after it was given up. */
const GIVE_UP_MS = 300;

/** A peer that has been silent for longer has no part of the slots. */
const MAX_PEER_SILENCE_MS = 4000;

/** Fraction of the latency target within which a request that waits must be sent. */
const MAX_TARGET_FRACTION = 0.8;

/** Fraction of the time to the deadline within which it must be answered. */
const MAX_REMAINING_FRACTION = 0.8;

const FIRST_REDIRECT_STATUS = 300;

/** Tells what became of a request that waits. */
export interface WaitObserver {
  /** A slot may be free. */
  send(): void;
  /** It has waited too long. */
  giveUp(): void;
}

/**
 * Sends endpoints that fall over when they turn requests away no more than they run at a time, all
 * VMs together; further requests wait here.
 */
export class BrittleTask {
  readonly #state: GatewayState;

  readonly #loopDelay: LoopDelay;

  readonly #log: GatewayLog;

  constructor(state: GatewayState, loopDelay: LoopDelay, log: GatewayLog) {
    this.#state = state;
    this.#loopDelay = loopDelay;
    this.#log = log;
  }

  /** Says whether a service's endpoints fall over when they turn requests away. */
  isBrittle(serviceId: string): boolean {
    return isBrittle(this.#state.brittleness, serviceId, now());
  }

  /** Restricts permits to the slots of this VM. */
  restrict(permits: RequestPermits, serviceId: string): RequestPermits {
    const { brittleness, directory } = this.#state;
    if (!this.isBrittle(serviceId)) return permits;
    const instant = now();
    return {
      isPermitted: (id) => {
        const endpoint = directory.endpoints.get(id);
        if (endpoint === undefined || !hasOwnSlot(brittleness, endpoint, instant)) return false;
        return permits.isPermitted(id);
      },
      waitMs: (id) => permits.waitMs(id) + meanRunMs(brittleness, serviceId),
    };
  }

  /** Records a request that is sent to an endpoint. */
  begin(endpointId: string): void {
    holdEndpointSlot(this.#state.brittleness, endpointId);
  }

  /** Records the end of a request; one that was given up may run on for a while. */
  end({ id, serviceId }: RegisteredEndpoint, isAnswered: boolean, tookMs: number): void {
    const release = () => {
      releaseEndpointSlot(this.#state.brittleness, id);
      this.#wakeWaiters(serviceId);
    };
    if (isAnswered) recordRun(this.#state.brittleness, serviceId, tookMs);
    if (isAnswered || !this.isBrittle(serviceId)) release();
    else setTimeout(release, GIVE_UP_MS).unref();
  }

  /** Records what an answer says. */
  recordAnswer(
    endpoint: RegisteredEndpoint,
    sentAt: number,
    status: number,
    { brittleness = null, isNotRun }: AnswerMetadata,
  ): void {
    const { id, serviceId } = endpoint;
    const state = this.#state.brittleness;
    const wasBrittle = this.isBrittle(serviceId);
    if (brittleness !== null) recordBrittle(state, serviceId, brittleness, now());
    else if (status < FIRST_REDIRECT_STATUS) recordSound(state, serviceId, sentAt);
    if (brittleness !== null && isNotRun) recordTurnedAway(state, id, now());
    if (wasBrittle === this.isBrittle(serviceId)) return;
    this.#log.change('service_brittle', { serviceId, isBrittle: !wasBrittle, brittleness });
  }

  /** Lets a request wait for a slot; null when it could not be sent in time. */
  wait(
    job: Job,
    waitedMs: number,
    remainingMs: number,
    observer: WaitObserver,
  ): (() => void) | null {
    const { brittleness, directory } = this.#state;
    const endpoints = listReadyEndpoints(directory, job.serviceId);
    const runMs = meanRunMs(brittleness, job.serviceId);
    const longestMs = Math.min(
      job.targetMs * MAX_TARGET_FRACTION - waitedMs,
      remainingMs * MAX_REMAINING_FRACTION - runMs,
    );
    if (predictWaitMs(brittleness, job, endpoints) > longestMs) return null;
    let timer: NodeJS.Timeout | null = null;
    const stop = () => {
      if (timer !== null) clearTimeout(timer);
    };
    const waiter: Waiter = {
      serviceId: job.serviceId,
      priority: job.priority,
      wake: () => {
        stop();
        observer.send();
      },
    };
    timer = setTimeout(() => {
      if (removeWaiter(brittleness, waiter)) observer.giveUp();
    }, longestMs);
    addWaiter(brittleness, waiter);
    return () => {
      stop();
      removeWaiter(brittleness, waiter);
    };
  }

  #wakeWaiters(serviceId: string): void {
    const { brittleness, directory } = this.#state;
    const endpoints = listReadyEndpoints(directory, serviceId);
    const isFree = () =>
      !this.isBrittle(serviceId) ||
      endpoints.some((endpoint) => hasOwnSlot(brittleness, endpoint, now()));
    // One that cannot be sent after all waits again.
    for (let left = brittleness.waiters.length; left > 0 && isFree(); left -= 1) {
      takeWaiter(brittleness, serviceId)?.wake();
    }
  }

  /** Updates the VMs that share slots, and wakes what waits for slots that became free by it. */
  maintain(): void {
    const { brittleness, peers } = this.#state;
    const heardSince = this.#loopDelay.listenedSince(MAX_PEER_SILENCE_MS);
    const heard = [...peers].filter(([, { heardAt }]) => heardAt >= heardSince);
    setSharingVms(
      brittleness,
      heard.map(([id]) => id),
    );
    removeEndedBrittleness(brittleness, now());
    const waiting = new Set(brittleness.waiters.map(({ serviceId }) => serviceId));
    waiting.forEach((serviceId) => this.#wakeWaiters(serviceId));
  }
}
