import { addToRate } from '../shared/index.js';
import { heldTokens, stepMs, workMs } from './costs.js';
import type { GenerationSize, Job } from './job.js';
import { fadeReads, leastUncached } from './promptCaches.js';
import { recordPace } from './pace.js';
import { kindOfRoute, totalLoad } from './queries.js';
import {
  createDemand,
  createEndpointWork,
  type EndpointWork,
  type PeerWork,
  type SchedulingState,
  type WaitingWork,
  type WorkKind,
} from './state.js';

/** Weight of the newest request in the sizes of its route. */
const PROFILE_WEIGHT = 0.05;

/** Weight of the newest answer in the failed part of its endpoint. */
const FAILURE_WEIGHT = 0.2;

/** Failures count for half after so long without an answer, so that an endpoint is tried again. */
export const FAILURE_HALF_LIFE_MS = 2000;

/** Returns what is known of an endpoint; creates it when nothing is. */
export function workOf(state: SchedulingState, endpointId: string): EndpointWork {
  let work = state.work.get(endpointId);
  if (work === undefined) {
    work = createEndpointWork();
    state.work.set(endpointId, work);
  }
  return work;
}

function profileRoute(state: SchedulingState, job: Job, size: GenerationSize): void {
  const { routeId, serviceId, priority, gapTargetMs } = job;
  const { promptTokens, outputTokens } = size;
  const profile = state.profiles.get(routeId);
  if (profile === undefined || profile.serviceId !== serviceId) {
    const sizes = { promptTokens, outputTokens };
    state.profiles.set(routeId, { serviceId, ...sizes, priority, gapTargetMs });
    return;
  }
  profile.promptTokens += PROFILE_WEIGHT * (promptTokens - profile.promptTokens);
  profile.outputTokens += PROFILE_WEIGHT * (outputTokens - profile.outputTokens);
  profile.gapTargetMs = gapTargetMs;
  profile.priority += PROFILE_WEIGHT * (priority - profile.priority);
}

/** Counts an arrival into its service's demand. */
export function noteArrival(state: SchedulingState, job: Job, now: number): void {
  if (job.size === null) return;
  profileRoute(state, job, job.size);
  const demand = state.demand.get(job.serviceId) ?? createDemand();
  state.demand.set(job.serviceId, demand);
  const kind = kindOfRoute(state, job);
  const uncached = leastUncached(state.caches, job.size, now);
  addToRate(kind === 'prefill' ? demand.prefill : demand.decode, workMs(job.size, uncached), now);
}

/** A request to be sent to an endpoint. */
export interface PlannedWork {
  readonly endpointId: string;
  /** Prompt tokens that the endpoint has to read. */
  readonly tokens: number;
  readonly predictedMs: number;
  readonly kind: WorkKind;
  readonly size: GenerationSize | null;
}

/** A request that was sent to an endpoint, as its load is counted. */
export interface SentWork extends WaitingWork {
  readonly endpointId: string;
  /** Prompt tokens that the endpoint has to read. */
  readonly tokens: number;
  /** Memory that it takes until it ends, in tokens. */
  readonly held: number;
  readonly kind: WorkKind;
  phase: 'waiting' | 'streaming' | 'ended';
  /** Instant of its first event; null before. */
  streamingSince: number | null;
}

/** Counts a request as sent. */
export function startWork(state: SchedulingState, planned: PlannedWork, now: number): SentWork {
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
  const { own, waiting } = workOf(state, endpointId);
  own.waiting += 1;
  own.waitingTokens += tokens;
  own.heldTokens += held;
  if (kind === 'decode') own.tight += 1;
  waiting.add(sent);
  return sent;
}

function endWaiting(state: SchedulingState, sent: SentWork): void {
  const { own, waiting } = workOf(state, sent.endpointId);
  own.waiting -= 1;
  own.waitingTokens -= sent.tokens;
  waiting.delete(sent);
}

/** Counts the first event of a sent request. */
export function beginStreaming(state: SchedulingState, sent: SentWork, now: number): void {
  if (sent.phase !== 'waiting') return;
  endWaiting(state, sent);
  const work = workOf(state, sent.endpointId);
  work.own.streaming += 1;
  recordPace(work.pace, sent.predictedMs, now - sent.sentAt, now);
  sent.phase = 'streaming';
  sent.streamingSince = now;
}

/** A stream with fewer events tells little of its engine's steps. */
const LEAST_EVENTS = 8;

/** Takes in a whole stream: how long its engine's steps were. */
export function observeStream(
  state: SchedulingState,
  sent: SentWork,
  events: number,
  tokensPerEvent: number,
  now: number,
): void {
  if (sent.kind !== 'decode' || sent.streamingSince === null || events < LEAST_EVENTS) return;
  const load = totalLoad(state, sent.endpointId, now);
  const expectedMs = tokensPerEvent * stepMs(load.waiting + load.streaming, 0);
  const observedMs = (now - sent.streamingSince) / (events - 1);
  recordPace(workOf(state, sent.endpointId).stepPace, expectedMs, observedMs, now);
}

/** Counts a sent request as over. */
export function endWork(state: SchedulingState, sent: SentWork): void {
  if (sent.phase === 'ended') return;
  const { own } = workOf(state, sent.endpointId);
  if (sent.phase === 'waiting') endWaiting(state, sent);
  else own.streaming -= 1;
  own.heldTokens -= sent.held;
  if (sent.kind === 'decode') own.tight -= 1;
  sent.phase = 'ended';
}

/** Takes in whether an endpoint answered or failed. */
export function observeOutcome(
  state: SchedulingState,
  endpointId: string,
  isFailure: boolean,
  now: number,
): void {
  const work = workOf(state, endpointId);
  work.failedPart += FAILURE_WEIGHT * ((isFailure ? 1 : 0) - work.failedPart);
  work.failedAt = now;
}

/** Takes in what another VM told of its work. */
export function learnPeerWork(state: SchedulingState, peerId: string, work: PeerWork): void {
  state.peers.set(peerId, work);
}

/** Forgets what an endpoint held and how fast it was: it has started again. */
export function forgetLifetime(state: SchedulingState, endpointId: string): void {
  state.caches.reads.forEach((engines) => engines.delete(endpointId));
  const work = state.work.get(endpointId);
  if (work === undefined) return;
  // Requests on their way still count until their connections break.
  const { own, waiting } = work;
  state.work.set(endpointId, { ...createEndpointWork(), own, waiting });
}

/** Forgets an endpoint that is gone, and peers that tell nothing any more. */
export function forgetStale(
  state: SchedulingState,
  isKnown: (endpointId: string) => boolean,
  oldest: number,
  now: number,
): void {
  fadeReads(state.caches, isKnown, now);
  for (const [id, { own }] of state.work) {
    if (!isKnown(id) && own.waiting + own.streaming === 0) state.work.delete(id);
  }
  state.peers.forEach(({ at }, id) => {
    if (at < oldest) state.peers.delete(id);
  });
}
