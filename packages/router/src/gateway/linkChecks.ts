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
import { SilenceTimer } from './silenceTimer.js';

/** Endpoints that are checked first; more when none of them answers. */
const FIRST_CHECK_ENDPOINTS = 2;

/** Time that endpoints without a limit have to answer before others are asked, too. */
const LIMITED_DELAY_MS = 100;

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
    const chosen = this.#chooseEndpoints(serviceId, exceptId);
    const isLost = lostSince(contacts, serviceId) !== null;
    const count = isLost ? LOST_CHECK_ENDPOINTS : FIRST_CHECK_ENDPOINTS;
    const unlimited = chosen.unlimited.slice(0, count);
    const limited = chosen.limited.slice(0, count);
    const wasSilent = silenceOf(contacts, serviceId) !== null;
    if (await this.#checkInTurn(unlimited, limited)) return;
    const first = unlimited.concat(limited);
    // Of a service that is silent, the first suffice while they open connections.
    if (isLost || (wasSilent && first.every(({ id }) => isSilent(contacts, serviceId, id)))) return;
    const others = chosen.unlimited.slice(count).concat(chosen.limited.slice(count));
    await this.#checkAll(others.slice(0, FAILED_ENDPOINTS_TO_LOSE - first.length));
  }

  /**
   * Chooses endpoints in random order, those last that have failed: they may have ended.
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

  /**
   * Checks endpoints; resolves with true as soon as one answers. Those with a limit are asked only where
   * no other answers soon: the checks of all VMs would use it up.
   */
  async #checkInTurn(
    unlimited: readonly RegisteredEndpoint[],
    limited: readonly RegisteredEndpoint[],
  ): Promise<boolean> {
    if (limited.length === 0) return this.#checkAll(unlimited);
    const timer = new SilenceTimer(this.#loopDelay);
    const isLate = new Promise<boolean>((resolve) => {
      timer.start(LIMITED_DELAY_MS, () => resolve(false));
    });
    const unlimitedAnswer = this.#checkAll(unlimited);
    const answersSoon = await Promise.race([unlimitedAnswer, isLate]);
    timer.stop();
    if (answersSoon) return true;
    const answers = [unlimitedAnswer, this.#checkAll(limited)];
    return (await Promise.race(answers)) || (await Promise.all(answers)).includes(true);
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
