import { addToRate } from '../shared/index.js';
import { heldTokens, stepMs, engineMs, unsharedTokens } from './costs.js';
import type { GenerationSize, Job } from './job.js';
import { dropStaleReads, minUncachedTokens } from './prefixCacheEstimate.js';
import { recordPace } from './pace.js';
import { kindOfRoute, totalLoad } from './queries.js';
import { createSizeGroups, recordPlacement, recordSize } from './sizeGroups.js';
import {
  createDemand,
  createEndpointWork,
  type EndpointWork,
  type PeerWork,
  type SchedulingState,
  type WaitingWork,
  type WorkKind,
} from './state.js';

/** Weight of the newest request in the moving averages of its route. */
const PROFILE_WEIGHT = 0.05;

/** Weight of the newest outcome in the failure rate of its endpoint. */
const FAILURE_WEIGHT = 0.2;

/** Half-life of a failure rate: without new outcomes it decays, so the endpoint is tried again. */
export const FAILURE_HALF_LIFE_MS = 2000;

/** Returns the work recorded for an endpoint; creates it when there is none. */
export function getOrCreateEndpointWork(state: SchedulingState, endpointId: string): EndpointWork {
  let work = state.work.get(endpointId);
  if (work === undefined) {
    work = createEndpointWork();
    state.work.set(endpointId, work);
  }
  return work;
}

function updateRouteProfile(state: SchedulingState, job: Job, size: GenerationSize): void {
  const { routeId, serviceId, priority, gapTargetMs } = job;
  const { promptTokens, outputTokens } = size;
  const profile = state.profiles.get(routeId);
  if (profile === undefined || profile.serviceId !== serviceId) {
    state.profiles.set(routeId, {
      serviceId,
      promptTokens,
      outputTokens,
      priority,
      gapTargetMs,
      unsharedTokens: unsharedTokens(size),
      sizes: createSizeGroups(size),
    });
    return;
  }
  profile.promptTokens += PROFILE_WEIGHT * (promptTokens - profile.promptTokens);
  profile.outputTokens += PROFILE_WEIGHT * (outputTokens - profile.outputTokens);
  profile.unsharedTokens += PROFILE_WEIGHT * (unsharedTokens(size) - profile.unsharedTokens);
  recordSize(profile.sizes, size);
  profile.gapTargetMs = gapTargetMs;
  profile.priority += PROFILE_WEIGHT * (priority - profile.priority);
}

/** Adds an arrived request to its service's demand; those to plain services are not counted. */
export function recordArrival(state: SchedulingState, job: Job, now: number): void {
  if (job.size === null || job.slots === null) return;
  updateRouteProfile(state, job, job.size);
  const demand = state.demand.get(job.serviceId) ?? createDemand();
  state.demand.set(job.serviceId, demand);
  const kind = kindOfRoute(state, job);
  const uncached = minUncachedTokens(state.prefixCaches, job.size, now);
  const demanded = kind === 'prefill' ? demand.prefill : demand.decode;
  addToRate(demanded, engineMs(job.size, uncached, job.slots), now);
}

/** Records whether a request was sent, or refused for its predicted time. */
export function recordPlacedSize(
  state: SchedulingState,
  { routeId, size }: Pick<Job, 'routeId' | 'size'>,
  isSent: boolean,
  now: number,
): void {
  const profile = state.profiles.get(routeId);
  if (size !== null && profile !== undefined) recordPlacement(profile.sizes, size, isSent, now);
}

/** A request that is about to be sent to an endpoint. */
export interface PlannedWork {
  readonly endpointId: string;
  /** Prompt tokens that the endpoint has to read. */
  readonly tokens: number;
  /** Expected time to the first event or answer, in milliseconds. */
  readonly predictedMs: number;
  readonly kind: WorkKind;
  readonly size: GenerationSize | null;
}

/** A request that was sent to an endpoint, with what it adds to the endpoint's load. */
export interface SentWork extends WaitingWork {
  readonly endpointId: string;
  /** Prompt tokens that the endpoint has to read. */
  readonly tokens: number;
  /** KV cache memory that it occupies until it ends, in tokens. */
  readonly held: number;
  readonly kind: WorkKind;
  phase: 'waiting' | 'streaming' | 'ended';
  /** Instant of its first event, in milliseconds; null until then. */
  streamingSince: number | null;
}

/** Adds a request that is sent now to the load of its endpoint. */
export function recordSend(state: SchedulingState, planned: PlannedWork, now: number): SentWork {
  const { endpointId, tokens, predictedMs, kind, size } = planned;
  const held = size === null ? 0 : heldTokens(size);
  const sent: SentWork = {
    endpointId,
    tokens,
    held,
    kind,
    predictedMs,
    sentAt: now,
    phase: 'waiting',
    streamingSince: null,
  };
  const { own, waiting } = getOrCreateEndpointWork(state, endpointId);
  own.waiting += 1;
  own.waitingTokens += tokens;
  own.heldTokens += held;
  if (kind === 'decode') own.tight += 1;
  waiting.add(sent);
  return sent;
}

function endWaiting(state: SchedulingState, sent: SentWork): void {
  const { own, waiting } = getOrCreateEndpointWork(state, sent.endpointId);
  own.waiting -= 1;
  own.waitingTokens -= sent.tokens;
  waiting.delete(sent);
}

/** Records the first event of a request and its pace; later calls have no effect. */
export function recordFirstEvent(state: SchedulingState, sent: SentWork, now: number): void {
  if (sent.phase !== 'waiting') return;
  endWaiting(state, sent);
  const work = getOrCreateEndpointWork(state, sent.endpointId);
  work.own.streaming += 1;
  recordPace(work.pace, sent.predictedMs, now - sent.sentAt, now);
  sent.phase = 'streaming';
  sent.streamingSince = now;
}

/** Streams with fewer events are too short to estimate their engine's step time. */
const MIN_STREAM_EVENTS = 8;

/** Records the step pace of a decode-bound stream that ended after `events` events. */
export function recordStepPace(
  state: SchedulingState,
  sent: SentWork,
  events: number,
  tokensPerEvent: number,
  now: number,
): void {
  if (sent.kind !== 'decode' || sent.streamingSince === null || events < MIN_STREAM_EVENTS) return;
  const load = totalLoad(state, sent.endpointId, now);
  const expectedMs = tokensPerEvent * stepMs(load.waiting + load.streaming, 0);
  const observedMs = (now - sent.streamingSince) / (events - 1);
  recordPace(getOrCreateEndpointWork(state, sent.endpointId).stepPace, expectedMs, observedMs, now);
}

/** Removes a request that ended from the load of its endpoint; later calls have no effect. */
export function recordEnd(state: SchedulingState, sent: SentWork): void {
  if (sent.phase === 'ended') return;
  const { own } = getOrCreateEndpointWork(state, sent.endpointId);
  if (sent.phase === 'waiting') endWaiting(state, sent);
  else own.streaming -= 1;
  own.heldTokens -= sent.held;
  if (sent.kind === 'decode') own.tight -= 1;
  sent.phase = 'ended';
}

/** Records in the failure rate of an endpoint whether it answered or failed. */
export function recordOutcome(
  state: SchedulingState,
  endpointId: string,
  isFailure: boolean,
  now: number,
): void {
  const work = getOrCreateEndpointWork(state, endpointId);
  work.failedPart += FAILURE_WEIGHT * ((isFailure ? 1 : 0) - work.failedPart);
  work.failedAt = now;
}

/** Replaces the work reported by another VM. */
export function recordPeerWork(state: SchedulingState, peerId: string, work: PeerWork): void {
  state.peers.set(peerId, work);
}

/** Resets the cached segments, pace and failure rate of an endpoint that has restarted. */
export function resetEndpointWork(state: SchedulingState, endpointId: string): void {
  state.prefixCaches.reads.forEach((engines) => engines.delete(endpointId));
  const work = state.work.get(endpointId);
  if (work === undefined) return;
  // Requests in flight count until their connections break.
  const { own, waiting } = work;
  state.work.set(endpointId, { ...createEndpointWork(), own, waiting });
}

/** Drops idle endpoints no longer known, old reads, and peers whose report is before `oldest`. */
export function dropStaleWork(
  state: SchedulingState,
  isKnown: (endpointId: string) => boolean,
  oldest: number,
  now: number,
): void {
  dropStaleReads(state.prefixCaches, isKnown, now);
  for (const [id, { own }] of state.work) {
    if (!isKnown(id) && own.waiting + own.streaming === 0) state.work.delete(id);
  }
  state.peers.forEach(({ at }, id) => {
    if (at < oldest) state.peers.delete(id);
  });
}
