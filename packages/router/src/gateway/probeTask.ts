import {
  hasBrokenAttempts,
  recordProbeResult,
  takeDueProbes,
  type RegisteredEndpoint,
  type StartedCheck,
} from '@filbertlatch/core';
import { buildConnector } from 'undici';

import { discardBody } from '../bounds/index.js';
import { now } from '../clock.js';
import { createCheckClient } from './checkClient.js';
import type { ConnectionTable } from './connectionTable.js';
import type { ContactTask } from './contactTask.js';
import type { CrashRecorder } from './crashRecorder.js';
import type { AnswerMetadata, Dialect } from './dialect.js';
import type { EndpointTerms } from './endpointTerms.js';
import type { GatewayLog } from './gatewayLog.js';
import type { GatewayState } from './gatewayState.js';
import { isConnectionReset } from './isConnectionReset.js';
import type { LoopDelay } from './loopDelay.js';
import { SilenceTimer } from './silenceTimer.js';

/** Time-out of a health check; a healthy endpoint answers within it even when its queue is full. */
const PROBE_TIMEOUT_MS = 1000;

/** Time-out of one that follows one without an answer. */
const REPEATED_PROBE_TIMEOUT_MS = 600;

/** Probes in a row without an answer that show the end of an endpoint: it may stand still. */
const UNANSWERED_PROBES_TO_END = 2;

/** Time in which bytes arrive that an endpoint sent before it ended. */
const IN_FLIGHT_MS = 100;

/** Time in which a full endpoint, which resets a probe, sends bytes on other connections. */
const RESET_LISTEN_MS = 300;

/** Time after which a probe that waits for an endpoint's limit or pause looks at it again. */
const TERMS_RECHECK_MS = 250;

/** Time before the end of a probe from which on its failure is certain. */
const MAX_FAILURE_AGE_MS = 300;

/** Minimum time between the starts of two probes of an endpoint. */
const MIN_PROBE_INTERVAL_MS = 100;

const OK_STATUS = 200;

/** Probes of one endpoint. */
interface ProbeProgress {
  /** Start of the latest probe; epoch milliseconds. */
  startedAt: number;
  isRunning: boolean;
  /** True when another probe must follow. */
  isDue: boolean;
  /** Latest probes without an answer while other endpoints of the service answered. */
  unanswered: number;
  /** Start of the first of these; epoch milliseconds. */
  unansweredSince: number;
}

/** Checks the health of endpoints, each time on a new connection. */
export class ProbeTask {
  readonly #state: GatewayState;

  readonly #dialect: Dialect;

  readonly #connections: ConnectionTable;

  readonly #crashes: CrashRecorder;

  readonly #terms: EndpointTerms;

  readonly #contacts: ContactTask;

  readonly #loopDelay: LoopDelay;

  readonly #log: GatewayLog;

  readonly #progress = new Map<string, ProbeProgress>();

  constructor(
    state: GatewayState,
    dialect: Dialect,
    connections: ConnectionTable,
    crashes: CrashRecorder,
    terms: EndpointTerms,
    contacts: ContactTask,
    loopDelay: LoopDelay,
    log: GatewayLog,
  ) {
    this.#state = state;
    this.#dialect = dialect;
    this.#connections = connections;
    this.#crashes = crashes;
    this.#terms = terms;
    this.#contacts = contacts;
    this.#loopDelay = loopDelay;
    contacts.onDoubt((endpointId) => this.probe(endpointId));
    this.#log = log;
  }

  /** Starts a probe of an endpoint now, or as soon as one that is not older may follow the last. */
  probe(endpointId: string): void {
    const progress = this.#progress.get(endpointId) ?? {
      startedAt: 0,
      isRunning: false,
      isDue: false,
      unanswered: 0,
      unansweredSince: 0,
    };
    this.#progress.set(endpointId, progress);
    if (progress.isDue) return;
    progress.isDue = true;
    if (!progress.isRunning) this.#schedule(endpointId, progress);
  }

  /** Probes the ejected endpoints whose ejection time is over. */
  probeEjected(): void {
    takeDueProbes(this.#state.health, now()).forEach((id) => this.probe(id));
  }

  /** Discards the records of endpoints that are no longer registered. */
  forgetRemoved(isRegistered: (endpointId: string) => boolean): void {
    this.#progress.forEach(({ isRunning }, id) => {
      if (!isRunning && !isRegistered(id)) this.#progress.delete(id);
    });
  }

  #schedule(endpointId: string, progress: ProbeProgress): void {
    const intervalMs = progress.startedAt + MIN_PROBE_INTERVAL_MS - now();
    const termsMs = Math.min(TERMS_RECHECK_MS, this.#timeToHealthCheck(endpointId));
    const waitMs = Math.max(intervalMs, termsMs);
    if (waitMs <= 0) void this.#run(endpointId, progress);
    else setTimeout(() => this.#schedule(endpointId, progress), waitMs).unref();
  }

  /** Returns the time until an endpoint's limit and pause let a health check through. */
  #timeToHealthCheck(endpointId: string): number {
    const { limits, pauses } = this.#terms;
    const endpoint = this.#state.directory.endpoints.get(endpointId);
    const pauseMs = endpoint === undefined ? 0 : pauses.leftMs(endpoint);
    return Math.max(limits.timeToHealthCheck(endpointId), pauseMs);
  }

  async #run(endpointId: string, progress: ProbeProgress): Promise<void> {
    progress.isDue = false;
    const endpoint = this.#state.directory.endpoints.get(endpointId);
    if (endpoint === undefined) return;
    progress.startedAt = now();
    progress.isRunning = true;
    await this.#checkHealth(endpoint, progress);
    progress.isRunning = false;
    if (progress.isDue) this.#schedule(endpointId, progress);
  }

  async #checkHealth(endpoint: RegisteredEndpoint, progress: ProbeProgress): Promise<void> {
    const { routing } = this.#state;
    const path = routing.configuration?.services.get(endpoint.serviceId)?.healthPath ?? '/';
    let isOpen = false;
    const openSocket = buildConnector({ timeout: 2 * PROBE_TIMEOUT_MS });
    const client = createCheckClient(endpoint.address, (target, callback) => {
      openSocket(target, (...result) => {
        isOpen = result[0] === null || isConnectionReset(result[0]);
        callback(...result);
      });
    });
    const check = this.#contacts.startCheck(endpoint);
    const timeout = new AbortController();
    const timer = new SilenceTimer(this.#loopDelay);
    timer.start(progress.unanswered > 0 ? REPEATED_PROBE_TIMEOUT_MS : PROBE_TIMEOUT_MS, () => {
      timeout.abort(new DOMException('no answer in time', 'TimeoutError'));
    });
    this.#terms.limits.recordSend(endpoint.id);
    try {
      const { signal } = timeout;
      const options = { method: 'GET', path, signal, responseHeaders: 'raw' } as const;
      const { statusCode, headers, body } = await client.request(options);
      await discardBody(body);
      const rawHeaders = headers as unknown as readonly string[];
      const answer = this.#dialect.parseAnswer(statusCode, rawHeaders);
      progress.unanswered = 0;
      this.#recordAnswer(endpoint, answer, statusCode, check.startedAt);
    } catch (error) {
      const hasTimedOut = error instanceof Error && error.name === 'TimeoutError';
      // A reset or a refusal comes from its host: the silence before is over.
      if (!hasTimedOut) progress.unanswered = 0;
      await this.#recordFailure(endpoint, check, error, hasTimedOut ? progress : null, isOpen);
    } finally {
      timer.stop();
      void client.destroy();
    }
  }

  /** `unanswered` is the progress of an endpoint that was silent; null of one that refused or reset. */
  async #recordFailure(
    endpoint: RegisteredEndpoint,
    check: StartedCheck,
    error: unknown,
    unanswered: ProbeProgress | null,
    isOpen: boolean,
  ): Promise<void> {
    const { id: endpointId } = endpoint;
    const { startedAt } = check;
    recordProbeResult(this.#state.health, endpointId, false, now());
    const isReset = unanswered === null && isOpen;
    const aliveSince = isReset ? now() + IN_FLIGHT_MS : startedAt;
    if (isReset) await this.#listen(RESET_LISTEN_MS);
    // An endpoint whose queue is full may answer requests, but no health check in time.
    const isAnswerless = unanswered !== null || isReset;
    const isBusy = isAnswerless && this.#connections.lastAliveAt(endpointId) > aliveSince;
    this.#log.change('endpoint_unreachable', { endpointId, isBusy, error: String(error) });
    // Before, the links may have been sound.
    const failedSince = Math.max(startedAt, now() - MAX_FAILURE_AGE_MS);
    if (isBusy) {
      if (unanswered !== null) unanswered.unanswered = 0;
      this.#crashes.recordEndpointAlive(endpointId, startedAt);
      return;
    }
    if (isOpen) this.#contacts.recordUnanswered(endpoint, check);
    if (unanswered !== null && unanswered.unanswered === 0) unanswered.unansweredSince = startedAt;
    if (unanswered !== null && (await this.#mayStandStill(endpoint, unanswered, failedSince))) {
      return;
    }
    const failure = isOpen ? 'silent' : 'unreachable';
    if (!(await this.#contacts.hasEnded(endpoint, failedSince, failure))) return;
    const heardAt = this.#connections.lastAliveAt(endpointId);
    const sign = isReset ? 'unreachable' : failure;
    const silentSince = Math.max(heardAt, unanswered?.unansweredSince ?? startedAt);
    this.#crashes.recordEndpointHeard(endpointId, heardAt - IN_FLIGHT_MS);
    this.#crashes.recordEndpointEnd(endpointId, sign, 'recent', silentSince);
  }

  #listen(listenMs: number): Promise<void> {
    return new Promise((resolve) => {
      new SilenceTimer(this.#loopDelay).start(listenMs, resolve);
    });
  }

  /** Finds out whether an endpoint that gave no answer must be asked again; it is, soon. */
  async #mayStandStill(
    endpoint: RegisteredEndpoint,
    progress: ProbeProgress,
    failedSince: number,
  ): Promise<boolean> {
    if (hasBrokenAttempts(this.#state.suspects, endpoint.id)) return false;
    // Silent together, they say nothing of each other.
    const isAlone = await this.#contacts.hasLinks(endpoint, failedSince);
    progress.unanswered = isAlone ? progress.unanswered + 1 : 0;
    if (progress.unanswered >= UNANSWERED_PROBES_TO_END) return false;
    if (isAlone) this.probe(endpoint.id);
    else this.#contacts.recordDoubt(endpoint);
    return true;
  }

  #recordAnswer(
    endpoint: RegisteredEndpoint,
    answer: AnswerMetadata,
    statusCode: number,
    startedAt: number,
  ): void {
    const { health } = this.#state;
    const { id: endpointId } = endpoint;
    this.#contacts.recordAnswer(endpointId);
    const { endpointId: answeringId } = answer;
    const isReplaced = answeringId !== null && answeringId !== endpointId;
    recordProbeResult(health, endpointId, statusCode === OK_STATUS && !isReplaced, now());
    this.#log.change('endpoint_probed', { endpointId, statusCode, answeringId });
    if (isReplaced) {
      this.#crashes.recordEndpointEnd(endpointId, 'replaced');
      return;
    }
    this.#crashes.recordEndpointAlive(endpointId, startedAt);
    const { departures, limits, pauses } = this.#terms;
    departures.recordHealthAnswer(endpoint, statusCode, answer);
    pauses.recordAnswer(endpoint, statusCode, answer);
    limits.recordHealthAnswer({ endpointId, sentAt: startedAt }, answer);
  }
}
