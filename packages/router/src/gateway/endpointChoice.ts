import {
  canGoOn,
  createRequestPermits,
  hasSeveralVersions,
  listReadyEndpoints,
  listTrialEndpoints,
  listUsableEndpoints,
  placeJob,
  randomInteger,
  recordPlacedSize,
  type Placement,
  type PlacementContext,
  type RegisteredEndpoint,
  type RequestPermits,
  type StreamOrigin,
} from '@filbertlatch/core';

import { now } from '../clock.js';
import type { AdmittedRequest } from './admitRequest.js';
import type { GatewayContext } from './gatewayContext.js';

/** Chooses the endpoints for the attempts of one request. */
export class EndpointChoice {
  /** Where a resumable stream began; null before its first event. */
  origin: StreamOrigin | null = null;

  readonly #context: GatewayContext;

  readonly #admitted: AdmittedRequest;

  readonly #triedIds = new Set<string>();

  /** Endpoints that the request was sent to since it could go to any. */
  readonly #excludedIds = new Set<string>();

  constructor(context: GatewayContext, admitted: AdmittedRequest) {
    this.#context = context;
    this.#admitted = admitted;
  }

  /** Ids of the endpoints that the request was sent to, in order. */
  get triedIds(): string[] {
    return [...this.#triedIds];
  }

  /** Records that the request is sent to an endpoint, which gets it no more until `allowTried`. */
  markTried(endpointId: string): void {
    this.#triedIds.add(endpointId);
    this.#excludedIds.add(endpointId);
  }

  /** Lets the request go to endpoints again that it was sent to, where no other can serve it. */
  allowTried(): void {
    this.#excludedIds.clear();
  }

  /** Chooses the endpoint of the next attempt, or refuses the request. */
  place(remainingMs: number, isTrial: boolean): Placement {
    const { scheduling } = this.#context.state;
    const { job } = this.#admitted;
    const placement = this.#decide(remainingMs, isTrial);
    const isLate = placement.kind === 'refuse' && placement.reason === 'too-late';
    if (isLate || placement.kind === 'send') recordPlacedSize(scheduling, job, !isLate, now());
    return placement;
  }

  /** True when an endpoint would be chosen now. */
  canPlace(remainingMs: number): boolean {
    return this.#decide(remainingMs, false).kind === 'send';
  }

  #decide(remainingMs: number, isTrial: boolean): Placement {
    const { scheduling, streamOrigins, zone, random } = this.#context.state;
    const { job } = this.#admitted;
    const candidates = this.#listCandidates();
    // A trial may end its endpoint, with all that runs there.
    const endpoints = isTrial ? this.#chooseTrialEndpoint(candidates) : candidates;
    const instant = now();
    const context: PlacementContext = {
      state: scheduling,
      endpoints,
      permits: this.#createPermits(),
      zone,
      random,
      now: instant,
      firstPauseMs: endpoints.length === 0 ? this.#firstPauseMs() : null,
      isResumed: this.origin !== null,
      leavesRoom: hasSeveralVersions(streamOrigins, job.serviceId, instant),
    };
    return placeJob(context, { ...job, remainingMs });
  }

  /** True when the limits of endpoints let the request through to one that it was not sent to. */
  hasPermitted(): boolean {
    const permits = this.#createPermits();
    return this.#listCandidates().some(({ id }) => permits.isPermitted(id));
  }

  /** True when only endpoints are left that want no request for a while. */
  isPaused(): boolean {
    return this.#firstPauseMs() !== null && this.#listCandidates().length === 0;
  }

  /** True when no endpoint of the stream's version is registered, also none that cannot serve now. */
  isVersionGone(): boolean {
    const { origin } = this;
    if (origin === null) return false;
    const { endpoints } = this.#context.state.directory;
    return ![...endpoints.values()].some((endpoint) => canGoOn(origin, endpoint));
  }

  /** Lists the endpoints that could serve the request, also those that want none for a while. */
  #listServing(): RegisteredEndpoint[] {
    const { directory } = this.#context.state;
    const ready = listReadyEndpoints(directory, this.#admitted.job.serviceId);
    const { origin } = this;
    return origin === null ? ready : ready.filter((endpoint) => canGoOn(origin, endpoint));
  }

  /** Returns the time until an endpoint that wants none now takes requests; null without such. */
  #firstPauseMs(): number | null {
    const { pauses } = this.#context;
    const pausesMs = this.#listServing()
      .map((endpoint) => pauses.leftMs(endpoint))
      .filter((ms) => ms > 0);
    return pausesMs.length === 0 ? null : Math.min(...pausesMs);
  }

  #listCandidates(): RegisteredEndpoint[] {
    const { state, pauses } = this.#context;
    const serving = this.#listServing().filter((endpoint) => pauses.leftMs(endpoint) === 0);
    const ids = serving.map(({ id }) => id);
    const usable = new Set(listUsableEndpoints(state.health, ids));
    const allowed = serving.filter(({ id }) => usable.has(id) && !this.#excludedIds.has(id));
    const untried = allowed.filter(({ id }) => !this.#triedIds.has(id));
    return untried.length > 0 ? untried : allowed;
  }

  #createPermits(): RequestPermits {
    const { brittle, state } = this.#context;
    const { job } = this.#admitted;
    return brittle.restrict(createRequestPermits(state.requestLimits, job, now()), job.serviceId);
  }

  #chooseTrialEndpoint(candidates: readonly RegisteredEndpoint[]): RegisteredEndpoint[] {
    const { connections, state } = this.#context;
    const heardAt = (endpointId: string) => connections.lastAliveAt(endpointId);
    const endpoints = listTrialEndpoints(state.scheduling, candidates, heardAt, now());
    // At random, since the crash of an endpoint speaks against all that are on trial there.
    return endpoints.length === 0
      ? []
      : [endpoints[randomInteger(state.random, endpoints.length)]!];
  }
}
