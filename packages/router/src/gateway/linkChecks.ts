import {
  FAILED_ENDPOINTS_TO_LOSE,
  hasFailed,
  isSilent,
  listReadyEndpoints,
  lostSince,
  randomInteger,
  silenceOf,
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

/** Endpoints of a service that may be asked, in the order in which they are. */
interface ChosenEndpoints {
  readonly unlimited: readonly RegisteredEndpoint[];
  readonly limited: readonly RegisteredEndpoint[];
}

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
    const { unlimited, limited } = this.#chooseEndpoints(serviceId, exceptId);
    if (lostSince(contacts, serviceId) !== null) {
      if (await this.#checkAll(unlimited.slice(0, LOST_CHECK_ENDPOINTS))) return;
      await this.#checkAll(limited.slice(0, LOST_CHECK_ENDPOINTS));
      return;
    }
    const preferred = unlimited.length > 0 ? unlimited : limited;
    const first = preferred.slice(0, FIRST_CHECK_ENDPOINTS);
    const wasSilent = silenceOf(contacts, serviceId) !== null;
    if (await this.#checkAll(first)) return;
    // Of a service that is silent, the first suffice while they open connections.
    if (wasSilent && first.every(({ id }) => isSilent(contacts, serviceId, id))) return;
    const ordered = unlimited.concat(limited);
    await this.#checkAll(ordered.slice(first.length, FAILED_ENDPOINTS_TO_LOSE));
  }

  /**
   * Chooses endpoints in random order, those last that have failed: they may have ended. Those with a
   * limit are asked only where no other answers: the checks of all VMs would use it up.
   */
  #chooseEndpoints(serviceId: string, exceptId: string | null): ChosenEndpoints {
    const { contacts, random } = this.#state;
    const askable = this.#listAskable(serviceId).filter(({ id }) => id !== exceptId);
    const first = randomInteger(random, Math.max(1, askable.length));
    const drawn = [...askable.slice(first), ...askable.slice(0, first)];
    const failed = drawn.filter(({ id }) => hasFailed(contacts, serviceId, id));
    const ordered = [...drawn.filter((endpoint) => !failed.includes(endpoint)), ...failed];
    const isLimited = ({ id }: RegisteredEndpoint) => this.#terms.limits.hasLimit(id);
    return {
      unlimited: ordered.filter((endpoint) => !isLimited(endpoint)),
      limited: ordered.filter(isLimited),
    };
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
