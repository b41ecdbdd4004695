import {
  endSilence,
  isCutOff,
  lastContactAt,
  listLostServices,
  listReadyEndpoints,
  listSilentServices,
  listTransitPeers,
  lostSince,
  MAX_PEER_SILENCE_MS,
  recordBrokenContact,
  recordContact,
  recordFailedContact,
  removeLostAttempts,
  startCheck,
  type ContactFailure,
  type RegisteredEndpoint,
  type StartedCheck,
  type UnansweredCheck,
} from '@filbertlatch/core';

import { now } from '../clock.js';
import type { ConnectionTable } from './connectionTable.js';
import type { LinkState } from './checkLink.js';
import { ContactChanges } from './contactChanges.js';
import { EndDoubts } from './endDoubts.js';
import type { EndpointTerms } from './endpointTerms.js';
import type { GatewayLog } from './gatewayLog.js';
import type { GatewayMetrics } from './gatewayMetrics.js';
import type { GatewayState } from './gatewayState.js';
import { LinkChecks } from './linkChecks.js';
import type { LoopDelay } from './loopDelay.js';
import { MAX_ROUND_TRIP_MS } from './peerLinks.js';
import { SilenceWatch } from './silenceWatch.js';

/** Interval between checks of a service that is lost. */
const LOST_CHECK_INTERVAL_MS = 250;

/** Time within which a cut is noticed. */
const MAX_DETECTION_MS = 2000;

/**
 * Finds out whether this VM has links to the endpoints of each service. What it sees of endpoints
 * while it has none is no sign of their state.
 */
export class ContactTask {
  readonly #state: GatewayState;

  readonly #connections: ConnectionTable;

  readonly #checks: LinkChecks;

  readonly #loopDelay: LoopDelay;

  readonly #changes: ContactChanges;

  readonly #silences: SilenceWatch;

  /** Time of the latest check of each lost service; epoch milliseconds. */
  readonly #checkedAt = new Map<string, number>();

  readonly #doubts: EndDoubts;

  /** Time of the latest check or request that an endpoint answered in time; epoch milliseconds. */
  #promptAt = 0;

  constructor(
    state: GatewayState,
    connections: ConnectionTable,
    terms: EndpointTerms,
    loopDelay: LoopDelay,
    metrics: GatewayMetrics,
    log: GatewayLog,
    notifyPeers: () => void,
  ) {
    this.#state = state;
    this.#connections = connections;
    this.#loopDelay = loopDelay;
    this.#checks = new LinkChecks(state, terms, loopDelay, metrics, log, {
      checked: (endpoint, link, check) => this.#handleCheck(endpoint, link, check),
    });
    this.#doubts = new EndDoubts(log);
    this.#changes = new ContactChanges(state, connections, this.#doubts, metrics, log, notifyPeers);
    this.#silences = new SilenceWatch(state, this.#checks, loopDelay);
    connections.onContact((endpointId) => this.recordAnswer(endpointId));
  }

  /** Sets the callback for endpoints that are to be probed again. */
  onDoubt(probe: (endpointId: string) => void): void {
    this.#doubts.onDue(probe);
  }

  /** True while no endpoint of a service can be reached. */
  isLost(serviceId: string): boolean {
    return lostSince(this.#state.contacts, serviceId) !== null;
  }

  /** True while links to a service are checked and none has proved sound. */
  isChecking(serviceId: string): boolean {
    return this.#checks.isRunning(serviceId);
  }

  /** Returns when each service's endpoints were last heard; epoch milliseconds by service id. */
  listHeardAt(): Map<string, number> {
    return this.#listLatest((id) => this.#connections.lastHeardAt(id));
  }

  /** Returns when an endpoint of each service last lived for certain, by what this VM has read. */
  listAliveAt(): Map<string, number> {
    return this.#listLatest((id) => this.#connections.lastAliveAt(id));
  }

  #listLatest(timeOf: (endpointId: string) => number): Map<string, number> {
    const latest = new Map<string, number>();
    this.#state.directory.endpoints.forEach(({ id, serviceId }) => {
      latest.set(serviceId, Math.max(timeOf(id), latest.get(serviceId) ?? 0));
    });
    return latest;
  }

  /** Time at which the latest was sent that an endpoint answered in time; epoch milliseconds. */
  get promptAt(): number {
    return this.#promptAt;
  }

  /** Records a request that an endpoint answers now; `sentAt` is in epoch milliseconds. */
  recordRoundTrip(sentAt: number): void {
    if (this.#loopDelay.earliestArrivalAt - sentAt > MAX_ROUND_TRIP_MS) return;
    this.#promptAt = Math.max(this.#promptAt, sentAt);
  }

  /** Checks links to endpoints of a service other than the given one. */
  checkOthers(serviceId: string, endpointId: string | null): void {
    void this.#checks.check(serviceId, endpointId);
  }

  /** Checks links to endpoints of every service. */
  checkAll(): void {
    this.#listServices().forEach((id) => {
      void this.#checks.check(id);
    });
  }

  /** Records that an endpoint has answered on a new connection. */
  recordAnswer(endpointId: string): void {
    const endpoint = this.#state.directory.endpoints.get(endpointId);
    if (endpoint === undefined) return;
    const { serviceId } = endpoint;
    const { contacts } = this.#state;
    const wasCutOff = isCutOff(contacts, serviceId);
    const { lostAt, silence } = recordContact(contacts, serviceId, now());
    if (lostAt !== null) this.#changes.regain(serviceId, { lostAt, silence, wasCutOff });
    if (silence !== null && !wasCutOff) this.#changes.endSilence(serviceId, silence);
    this.#doubts.probe(serviceId);
  }

  /** Records that an endpoint could not be reached. */
  recordFailure(endpoint: RegisteredEndpoint): void {
    this.#recordFailedContact(endpoint, null);
  }

  /** Records that an endpoint broke a connection off. */
  recordBroken({ id, serviceId }: RegisteredEndpoint): void {
    const sign = recordBrokenContact(this.#state.contacts, serviceId, id, now());
    if (sign === 'doubtful') void this.#checks.check(serviceId);
  }

  /** Records that an endpoint opened a connection for a check and did not answer. */
  recordUnanswered(endpoint: RegisteredEndpoint, check: StartedCheck): void {
    const heardAt = this.listHeardAt();
    this.#endSilences(heardAt);
    // A full endpoint is silent, but not all of a service are to a VM that is in touch.
    const serviceHeardAt = heardAt.get(endpoint.serviceId) ?? 0;
    const answeredAt = lastContactAt(this.#state.contacts, endpoint.serviceId);
    if (serviceHeardAt >= check.startedAt || answeredAt > check.startedAt) return;
    this.#recordFailedContact(endpoint, { ...check, heardAt: serviceHeardAt });
  }

  /** Notes what is known as a check of an endpoint starts. */
  startCheck({ serviceId }: RegisteredEndpoint): StartedCheck {
    return startCheck(this.#state.contacts, serviceId, now());
  }

  /**
   * Finds out whether an endpoint that could not be reached since `since` has ended. Otherwise the
   * links of this VM may have failed, and the endpoint is probed again when it has some.
   */
  async hasEnded(
    endpoint: RegisteredEndpoint,
    since: number,
    failure: ContactFailure = 'unreachable',
  ): Promise<boolean> {
    // That of a silent one has been recorded.
    if (failure === 'unreachable') this.recordFailure(endpoint);
    if (await this.hasLinks(endpoint, since)) return true;
    this.recordDoubt(endpoint);
    return false;
  }

  /** Has an endpoint probed again that may have ended, at the next contact with its service. */
  recordDoubt(endpoint: RegisteredEndpoint): void {
    this.#doubts.record(endpoint);
  }

  /** Finds out whether other endpoints of the service answer since an instant; asks some if need be. */
  async hasLinks(endpoint: RegisteredEndpoint, since: number): Promise<boolean> {
    const { serviceId } = endpoint;
    const { contacts } = this.#state;
    const others = this.#listOthers(endpoint);
    if (others.length === 0) {
      const heardSince = this.#loopDelay.listenedSince(MAX_PEER_SILENCE_MS);
      return listTransitPeers(contacts, serviceId, heardSince).length === 0;
    }
    const isHeard = () => others.some(({ id }) => this.#connections.lastAliveAt(id) >= since);
    const isLinked = () => lastContactAt(contacts, serviceId) >= since || isHeard();
    // A check that was running may have begun before.
    for (let tries = 0; tries < 2 && !isLinked(); tries += 1) {
      await this.#checks.check(serviceId, endpoint.id);
    }
    return isLinked();
  }

  #listOthers({ id, serviceId }: RegisteredEndpoint): RegisteredEndpoint[] {
    const ready = listReadyEndpoints(this.#state.directory, serviceId);
    return ready.filter((endpoint) => endpoint.id !== id);
  }

  /** Checks links whose state is in doubt; called by the maintenance timer. */
  maintain(): void {
    const { contacts } = this.#state;
    const lost = listLostServices(contacts);
    const heardAt = this.listHeardAt();
    this.#endSilences(heardAt);
    this.#checkAgain(lost.length > 0 ? this.#listServices() : listSilentServices(contacts));
    lost.forEach((serviceId) => this.#dropEvidence(serviceId));
    this.#silences.maintain(heardAt);
    this.#doubts.maintain((serviceId) => !this.isLost(serviceId));
  }

  /** Drops the lost attempts since shortly before an instant: the links of this VM ended them. */
  dropLostAttempts(since: number): void {
    const { directory, suspects } = this.#state;
    directory.endpoints.forEach(({ id }) => {
      removeLostAttempts(suspects, id, since - MAX_DETECTION_MS);
    });
  }

  /** Drops what a VM that is cut off has seen: its attempts were not ended by their endpoints. */
  #dropEvidence(serviceId: string): void {
    const { contacts, directory, suspects } = this.#state;
    if (!isCutOff(contacts, serviceId)) return;
    const since = lostSince(contacts, serviceId)! - MAX_DETECTION_MS;
    directory.endpoints.forEach(({ id, serviceId: ofService }) => {
      if (ofService === serviceId) removeLostAttempts(suspects, id, since);
    });
  }

  #listServices(): string[] {
    return [...(this.#state.routing.configuration?.services.keys() ?? [])];
  }

  /** A VM that lost one service has perhaps lost those that it has not called lately, too. */
  #checkAgain(serviceIds: readonly string[]): void {
    const instant = now();
    serviceIds.forEach((id) => {
      const latestAt = Math.max(
        this.#checkedAt.get(id) ?? 0,
        lastContactAt(this.#state.contacts, id),
      );
      if (instant < latestAt + LOST_CHECK_INTERVAL_MS) return;
      this.#checkedAt.set(id, instant);
      void this.#checks.check(id);
    });
  }

  #handleCheck(endpoint: RegisteredEndpoint, link: LinkState, check: StartedCheck): void {
    if (link === 'answers') {
      this.#promptAt = Math.max(this.#promptAt, check.startedAt);
      this.recordAnswer(endpoint.id);
      return;
    }
    // What failed is forgotten as another endpoint answers, also when it is found out later.
    if (lastContactAt(this.#state.contacts, endpoint.serviceId) > check.startedAt) return;
    if (link === 'unreachable') this.recordFailure(endpoint);
    else this.recordUnanswered(endpoint, check);
  }

  #recordFailedContact(
    { id, serviceId }: RegisteredEndpoint,
    unanswered: UnansweredCheck | null,
  ): void {
    const { contacts, directory } = this.#state;
    const ready = listReadyEndpoints(directory, serviceId).length;
    // Of those that want nothing now only few can fail.
    const endpointCount = Math.max(Math.min(2, ready), this.#checks.countAskable(serviceId));
    const report = { endpointId: id, endpointCount, unanswered };
    const sign = recordFailedContact(contacts, serviceId, report, now());
    if (sign === 'none') return;
    if (sign !== 'doubtful') this.#changes.begin(sign, serviceId, ready);
    void this.#checks.check(serviceId);
  }

  #endSilences(heardAt: ReadonlyMap<string, number>): void {
    listSilentServices(this.#state.contacts).forEach((serviceId) => {
      const silence = endSilence(this.#state.contacts, serviceId, heardAt.get(serviceId) ?? 0);
      if (silence !== null) this.#changes.endSilence(serviceId, silence);
    });
  }
}
