import {
  FAILED_ENDPOINTS_TO_LOSE,
  hasFailed,
  listReadyEndpoints,
  lostSince,
  randomInteger,
  startCheck,
  type RegisteredEndpoint,
  type StartedCheck,
} from '@filbertlatch/core';

import { now } from '../clock.js';
import { checkLink, type LinkState } from './checkLink.js';
import type { EndpointTerms } from './endpointTerms.js';
import type { GatewayLog } from './gatewayLog.js';
import type { GatewayMetrics } from './gatewayMetrics.js';
import type { GatewayState } from './gatewayState.js';
import type { LoopDelay } from './loopDelay.js';

/** Endpoints that are checked first; more when none of them answers. */
const FIRST_CHECK_ENDPOINTS = 2;

/** Endpoints of a lost service that are checked at a time. */
const LOST_CHECK_ENDPOINTS = 3;

/** Receives the results of checks. */
export interface LinkObserver {
  /** A check of an endpoint has ended. */
  checked(endpoint: RegisteredEndpoint, link: LinkState, check: StartedCheck): void;
}

/** Checks the links to some endpoints of a service, one check of a service at a time. */
export class LinkChecks {
  readonly #state: GatewayState;

  readonly #terms: EndpointTerms;

  readonly #loopDelay: LoopDelay;

  readonly #metrics: GatewayMetrics;

  readonly #log: GatewayLog;

  readonly #observer: LinkObserver;

  /** Checks that run, by service id. */
  readonly #running = new Map<string, Promise<void>>();

  constructor(
    state: GatewayState,
    terms: EndpointTerms,
    loopDelay: LoopDelay,
    metrics: GatewayMetrics,
    log: GatewayLog,
    observer: LinkObserver,
  ) {
    this.#state = state;
    this.#terms = terms;
    this.#loopDelay = loopDelay;
    this.#metrics = metrics;
    this.#log = log;
    this.#observer = observer;
  }

  /** Counts the endpoints of a service that may be asked now. */
  countAskable(serviceId: string): number {
    return this.#listAskable(serviceId).length;
  }

  /** True while links to a service are checked. */
  isRunning(serviceId: string): boolean {
    return this.#running.has(serviceId);
  }

  /** Checks links until one proves sound; resolves when one does, or all that were chosen failed. */
  check(serviceId: string, exceptId: string | null = null): Promise<void> {
    const running = this.#running.get(serviceId);
    if (running !== undefined) return running;
    const check = this.#checkSome(serviceId, exceptId).finally(() => {
      this.#running.delete(serviceId);
    });
    this.#running.set(serviceId, check);
    return check;
  }

  async #checkSome(serviceId: string, exceptId: string | null): Promise<void> {
    const { contacts } = this.#state;
    const ordered = this.#orderEndpoints(serviceId, exceptId);
    if (lostSince(contacts, serviceId) !== null) {
      await this.#checkAll(ordered.slice(0, LOST_CHECK_ENDPOINTS));
    } else if (!(await this.#checkAll(ordered.slice(0, FIRST_CHECK_ENDPOINTS)))) {
      await this.#checkAll(ordered.slice(FIRST_CHECK_ENDPOINTS, FAILED_ENDPOINTS_TO_LOSE));
    }
  }

  /** Orders endpoints at random, those last that have failed: they may have ended. */
  #orderEndpoints(serviceId: string, exceptId: string | null): RegisteredEndpoint[] {
    const { contacts, random } = this.#state;
    const askable = this.#listAskable(serviceId).filter(({ id }) => id !== exceptId);
    const first = randomInteger(random, Math.max(1, askable.length));
    const drawn = [...askable.slice(first), ...askable.slice(0, first)];
    const failed = drawn.filter(({ id }) => hasFailed(contacts, serviceId, id));
    return [...drawn.filter((endpoint) => !failed.includes(endpoint)), ...failed];
  }

  #listAskable(serviceId: string): RegisteredEndpoint[] {
    const { limits, pauses } = this.#terms;
    return listReadyEndpoints(this.#state.directory, serviceId).filter(
      (endpoint) => limits.timeToHealthCheck(endpoint.id) === 0 && pauses.leftMs(endpoint) === 0,
    );
  }

  /** Checks endpoints; resolves with true as soon as one answers. */
  async #checkAll(endpoints: readonly RegisteredEndpoint[]): Promise<boolean> {
    const answered = endpoints.map(async (endpoint) => {
      if ((await this.#checkOne(endpoint)) !== 'answers') throw new Error('not reached');
    });
    return Promise.any(answered).then(
      () => true,
      () => false,
    );
  }

  async #checkOne(endpoint: RegisteredEndpoint): Promise<LinkState> {
    const { id, serviceId } = endpoint;
    const check = startCheck(this.#state.contacts, serviceId, now());
    const { services } = this.#state.routing.configuration ?? {};
    this.#terms.limits.recordSend(id);
    const path = services?.get(serviceId)?.healthPath ?? '/';
    const link = await checkLink(endpoint, path, this.#loopDelay);
    this.#metrics.countLinkCheck(link);
    const tookMs = Math.round(now() - check.startedAt);
    this.#log.decision('link_checked', { endpointId: id, link, tookMs });
    this.#observer.checked(endpoint, link, check);
    return link;
  }
}
