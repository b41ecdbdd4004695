import type { RegisteredEndpoint } from '../directory/index.js';
import type { RequestPermits } from '../requestLimits/index.js';
import { rankMembers, type Random } from '../shared/index.js';
import { FAILURE_HALF_LIFE_MS } from './commands.js';
import {
  IDLE_FIRST_EVENT_MS,
  heldTokens,
  unsharedTokens,
  prefillMs,
  sharedSegments,
  stepMs,
} from './costs.js';
import { divideEngines } from './divideEngines.js';
import { drawByLoad } from './drawByLoad.js';
import type { GenerationSize, Job } from './job.js';
import { meanFirstEventPace, meanStepPace } from './pace.js';
import { listSegmentHolders, uncachedTokens } from './prefixCacheEstimate.js';
import { kindOfRoute, minGapTargetMs, totalLoad, unseenDecodeRequests } from './queries.js';
import { isWithinGapTarget } from './isWithinGapTarget.js';
import { isBelowFloor } from './sizeGroups.js';
import type { SchedulingState, WorkLoad } from './state.js';

/** The endpoint for a request, or why the request is refused and when to retry. */
export type Placement =
  | {
      readonly kind: 'send';
      readonly endpoint: RegisteredEndpoint;
      /** Uncached prompt tokens that the endpoint is expected to read. */
      readonly tokens: number;
      /** Expected time to the first event or answer, in milliseconds. */
      readonly predictedMs: number;
    }
  | {
      readonly kind: 'refuse';
      /**
       * `full`: no capacity; `too-late`: no engine would meet the target or the deadline; `limited`:
       * the limits of all endpoints are used up; `paused`: all endpoints want none for a while.
       */
      readonly reason: 'no-endpoint' | 'full' | 'too-late' | 'limited' | 'paused';
      /** Expected time to the first event or answer if it were accepted, in milliseconds. */
      readonly predictedMs: number;
      /** Time after which the caller should retry, in milliseconds. */
      readonly retryAfterMs: number;
    };

/** The inputs of a placement other than the request. */
export interface PlacementContext {
  readonly state: SchedulingState;
  /** Endpoints of the service that may be used. */
  readonly endpoints: readonly RegisteredEndpoint[];
  /** Which of the endpoints may get the request by their limits. */
  readonly permits: RequestPermits;
  /** Availability zone of this VM. */
  readonly zone: string;
  readonly random: Random;
  readonly now: number;
  /** Time until the first of the endpoints that want none for a while takes requests; else null. */
  readonly firstPauseMs?: number | null;
  /** True for a stream that has begun and goes on: only the given endpoints can continue it. */
  readonly isResumed?: boolean;
  /** True when other requests must leave room on engines for streams that go on. */
  readonly leavesRoom?: boolean;
}

interface Candidate {
  readonly endpoint: RegisteredEndpoint;
  /** Load of the endpoint, summed over all VMs. */
  readonly load: WorkLoad;
  /** Uncached prompt tokens that the endpoint is expected to read. */
  readonly tokens: number;
  /** Expected time to the first event or answer, in milliseconds. */
  readonly predictedMs: number;
  /** Expected time to the answer's end if prefill-bound, else `predictedMs`; in milliseconds. */
  readonly wholeMs: number;
  /** First-event pace of the endpoint. */
  readonly pace: number;
  /** Score to compare candidates of one request by; the lowest wins. */
  readonly cost: number;
}

/** Number of engines after the first by hash that are scored even without cached segments. */
const MAX_SPILL_ENGINES = 2;

/** Weight of prefill time against waiting: it also delays all requests queued behind it. */
const PREFILL_COST_WEIGHT = 2.5;

/**
 * An engine for prefill with more decode-bound streams than this gets no prompts: the border has
 * just moved, its streams end within seconds, and delaying them costs more than the prompts that
 * it could read meanwhile are worth.
 */
const MAX_DECODE_STREAMS = 8;

/** Cost per rank in hash order: a new segment goes to the first engine unless clearly busier. */
const RANK_COST_MS = 15;

/** Fraction of an engine's slots for new requests while streams may have to go on there. */
const NEW_REQUEST_FRACTION = 7 / 8;

/** Fraction of an engine's KV cache memory for requests; the rest is left to cached prefixes. */
const MAX_MEMORY_FRACTION = 0.6;

/**
 * Cost of one idle first-event time of delay, in requests of the batch: the delay of a first event
 * cannot be made up for.
 */
const DECODE_WAIT_WEIGHT = 10;

/** Fraction of the time to the deadline within which the answer must be expected to end. */
const MAX_REMAINING_FRACTION = 0.9;

/** Fraction of the target within which the first event must be expected, also after a retry. */
const MAX_TARGET_FRACTION = 0.85;

/** Cost at which a plain endpoint is full: requests per slot plus zone penalty and jitter. */
const MAX_PLAIN_REQUESTS_PER_SLOT = 3;

/** Endpoints whose failure rate exceeds the lowest by more than this are not used. */
const FAILURE_RATE_MARGIN = 0.3;

/** Retry delay when the service has no endpoint, unless the deadline allows less. */
const NO_ENDPOINT_RETRY_AFTER_MS = 500;

/** Shortest retry delay, unless the deadline allows less. */
const MIN_RETRY_AFTER_MS = 150;

/** Time over which callers return after a pause of all endpoints. */
const MIN_RETURN_SPREAD_MS = 200;
const MAX_RETURN_SPREAD_MS = 1500;

/** Longest retry delay as a fraction of the time to the deadline: callers honour no more. */
const MAX_RETRY_AFTER_FRACTION = 1 / 3;

function computeRetryAfterMs(job: Job, backlogMs: number, random: Random): number {
  // Jitter of 0.5 to 1.5 times the backlog, so that a refused burst does not return all at once.
  const jittered = backlogMs * (0.5 + random.next());
  return Math.min(
    job.remainingMs * MAX_RETRY_AFTER_FRACTION,
    Math.max(MIN_RETRY_AFTER_MS, jittered),
  );
}

/** Returns the failure rate of an endpoint, 0 to 1; it decays without new outcomes. */
function currentFailureRate({ state, now }: PlacementContext, endpointId: string): number {
  const work = state.work.get(endpointId);
  if (work === undefined) return 0;
  return work.failedPart * 0.5 ** ((now - work.failedAt) / FAILURE_HALF_LIFE_MS);
}

function excludeFailing(
  context: PlacementContext,
  endpoints: readonly RegisteredEndpoint[] = context.endpoints,
): RegisteredEndpoint[] {
  if (endpoints.length < 2) return [...endpoints];
  const rates = endpoints.map(({ id }) => currentFailureRate(context, id));
  const lowest = Math.min(...rates);
  return endpoints.filter((_, index) => rates[index]! <= lowest + FAILURE_RATE_MARGIN);
}

function findCheapest(candidates: readonly Candidate[]): Candidate | undefined {
  let best: Candidate | undefined;
  for (const candidate of candidates) {
    if (best === undefined || candidate.cost < best.cost) best = candidate;
  }
  return best;
}

/** Returns the key that orders engines for a prompt: the id of its last shared segment. */
function affinityKey(size: GenerationSize): string {
  return sharedSegments(size).at(-1)?.id ?? size.segments[0]?.id ?? '';
}

/** Returns the first engines by rendezvous hash, and those that hold the last shared segment. */
function listAffinityEngines(
  { state }: PlacementContext,
  engines: readonly RegisteredEndpoint[],
  size: GenerationSize,
): RegisteredEndpoint[] {
  const key = affinityKey(size);
  const holders = new Set(listSegmentHolders(state.prefixCaches, key));
  return rankMembers(key, engines).filter(
    ({ id }, rank) => rank <= MAX_SPILL_ENGINES || holders.has(id),
  );
}

/** Scores engines for a prefill-bound request; each rank in the given order adds a cost. */
function scorePrefill(
  context: PlacementContext,
  engines: readonly RegisteredEndpoint[],
  size: GenerationSize,
): Candidate[] {
  const { state, now } = context;
  return engines.map((endpoint, rank) => {
    const tokens = uncachedTokens(state.prefixCaches, endpoint.id, size, now);
    const load = totalLoad(state, endpoint.id, now);
    const pace = meanFirstEventPace(state, endpoint.id, now);
    const waitMs = prefillMs(load.waitingTokens) * pace;
    const readMs = prefillMs(tokens) * pace;
    const predictedMs = IDLE_FIRST_EVENT_MS * pace + waitMs + readMs;
    const batch = load.waiting + load.streaming;
    const wholeMs = predictedMs + size.outputTokens * stepMs(batch, waitMs) * pace;
    const cost = waitMs + PREFILL_COST_WEIGHT * readMs + rank * RANK_COST_MS;
    return { endpoint, load, tokens, predictedMs, wholeMs, pace, cost };
  });
}

/** Says whether an engine has a slot and memory for one more request. */
function hasCapacity({ leavesRoom }: PlacementContext, candidate: Candidate, job: Job): boolean {
  const { endpoint, load } = candidate;
  const slots = leavesRoom === true ? endpoint.slots * NEW_REQUEST_FRACTION : endpoint.slots;
  if (load.waiting + load.streaming >= slots) return false;
  if (job.kvTokens === null || job.size === null) return true;
  return load.heldTokens + heldTokens(job.size) <= job.kvTokens * MAX_MEMORY_FRACTION;
}

/** Scores engines for a decode-bound request by batch size, scaled by the engine's step pace. */
function scoreDecode(
  { state, now }: PlacementContext,
  engines: readonly RegisteredEndpoint[],
  size: GenerationSize,
): Candidate[] {
  const tokens = unsharedTokens(size);
  return engines.map((endpoint) => {
    const load = totalLoad(state, endpoint.id, now);
    // An engine that is faster than predicted gets no larger batch for it.
    const pace = Math.max(1, meanFirstEventPace(state, endpoint.id, now));
    const waitMs = prefillMs(load.waitingTokens) * pace;
    const predictedMs = IDLE_FIRST_EVENT_MS * pace + waitMs;
    const busy = load.waiting + load.streaming;
    const batch = (busy + 1) * meanStepPace(state, endpoint.id, now);
    const cost = batch + (DECODE_WAIT_WEIGHT * predictedMs) / IDLE_FIRST_EVENT_MS;
    return { endpoint, load, tokens, predictedMs, wholeMs: predictedMs, pace, cost };
  });
}

function placeDecode(context: PlacementContext, job: Job, size: GenerationSize): Placement {
  const { state, random, now } = context;
  const usable = excludeFailing(context);
  const { own, fallback } = divideEngines(state, job.serviceId, usable, 'decode', now);
  const isFree = (candidate: Candidate) =>
    hasCapacity(context, candidate, job) && context.permits.isPermitted(candidate.endpoint.id);
  const unseen = unseenDecodeRequests(state, job, now);
  const best =
    drawByLoad(scoreDecode(context, own, size).filter(isFree), unseen, random) ??
    drawByLoad(scoreDecode(context, fallback, size).filter(isFree), unseen, random);
  if (best !== undefined) return { kind: 'send', ...best };
  const retryAfterMs = computeRetryAfterMs(job, job.targetMs, random);
  return { kind: 'refuse', reason: 'full', predictedMs: job.targetMs, retryAfterMs };
}

/**
 * Returns the part of a large request's reading time that does not count against its target, in
 * milliseconds on an engine of normal pace; 0 while such requests are sent nearly as often as others.
 * Behind the same queue a prompt that takes long to read would be refused first, at any load.
 */
function excusedReadMs({ state, now }: PlacementContext, job: Job, size: GenerationSize): number {
  const profile = state.profiles.get(job.routeId);
  if (profile === undefined || !isBelowFloor(profile.sizes, size, now)) return 0;
  return Math.max(0, prefillMs(unsharedTokens(size) - profile.unsharedTokens));
}

function placePrefill(context: PlacementContext, job: Job, size: GenerationSize): Placement {
  const { state, random, now } = context;
  const usable = excludeFailing(context);
  const { own, fallback } = divideEngines(state, job.serviceId, usable, 'prefill', now);
  const scored = scorePrefill(context, listAffinityEngines(context, own, size), size);
  const scoreAll = (engines: readonly RegisteredEndpoint[]) =>
    scorePrefill(context, rankMembers(affinityKey(size), engines), size);
  const gapMs = minGapTargetMs(state, job.serviceId);
  const isGapSafe = ({ load, tokens }: Candidate) => isWithinGapTarget(load, job, tokens, gapMs);
  const hasFewStreams = ({ load }: Candidate) =>
    load.tight <= MAX_DECODE_STREAMS || own.length === usable.length;
  const limitMs = job.targetMs * MAX_TARGET_FRACTION;
  const excusedMs = excusedReadMs(context, job, size);
  const isInTime = (candidate: Candidate) =>
    candidate.predictedMs - excusedMs * Math.max(1, candidate.pace) <= limitMs &&
    candidate.wholeMs <= job.remainingMs * MAX_REMAINING_FRACTION &&
    hasCapacity(context, candidate, job) &&
    context.permits.isPermitted(candidate.endpoint.id);
  // Reading the shared segments again on another engine costs less than refusing the request.
  const best =
    findCheapest(scored.filter(hasFewStreams).filter(isInTime)) ??
    findCheapest(scoreAll(own).filter(hasFewStreams).filter(isInTime)) ??
    findCheapest(
      scoreAll([...own, ...fallback])
        .filter(isGapSafe)
        .filter(isInTime),
    );
  if (best !== undefined) return { kind: 'send', ...best };
  const predictedMs = Math.min(...scored.map((candidate) => candidate.predictedMs));
  const retryAfterMs = computeRetryAfterMs(job, predictedMs, random);
  return { kind: 'refuse', reason: 'too-late', predictedMs, retryAfterMs };
}

/** Places a stream that goes on: it may use the room that new requests leave. */
function placeResumed(context: PlacementContext, job: Job, size: GenerationSize): Placement {
  const { state, random, now } = context;
  const usable = excludeFailing(context);
  const hasRoom = ({ endpoint, load }: Candidate) =>
    load.waiting + load.streaming < endpoint.slots && context.permits.isPermitted(endpoint.id);
  const ranked = () => rankMembers(affinityKey(size), usable);
  const best =
    kindOfRoute(state, job) === 'prefill'
      ? findCheapest(scorePrefill(context, ranked(), size).filter(hasRoom))
      : drawByLoad(
          scoreDecode(context, usable, size).filter(hasRoom),
          unseenDecodeRequests(state, job, now),
          random,
        );
  if (best !== undefined) return { kind: 'send', ...best };
  const retryAfterMs = computeRetryAfterMs(job, job.targetMs, random);
  return { kind: 'refuse', reason: 'full', predictedMs: job.targetMs, retryAfterMs };
}

function placePlain(context: PlacementContext, job: Job): Placement {
  const { state, zone, random, now } = context;
  const permitted = context.endpoints.filter(({ id }) => context.permits.isPermitted(id));
  const scored = excludeFailing(context, permitted).map((endpoint) => {
    const load = totalLoad(state, endpoint.id, now);
    const busy = (load.waiting + load.streaming) / endpoint.slots;
    const zonePenalty = endpoint.zone === zone ? 0 : 0.15;
    const cost = busy + zonePenalty + random.next() * 0.1;
    const predictedMs = job.targetMs / 2;
    return { endpoint, load, tokens: 0, predictedMs, wholeMs: predictedMs, pace: 1, cost };
  });
  const best = findCheapest(scored.filter(({ cost }) => cost < MAX_PLAIN_REQUESTS_PER_SLOT));
  if (best !== undefined) return { kind: 'send', ...best };
  const retryAfterMs = computeRetryAfterMs(job, job.targetMs, random);
  return { kind: 'refuse', reason: 'full', predictedMs: job.targetMs, retryAfterMs };
}

/** Refuses a request while the limits of all endpoints are used up; null while one is not. */
function refuseWhenLimited(
  { endpoints, permits, random }: PlacementContext,
  job: Job,
): Placement | null {
  if (endpoints.some(({ id }) => permits.isPermitted(id))) return null;
  const waitMs = Math.min(...endpoints.map(({ id }) => permits.waitMs(id)));
  const retryAfterMs = computeRetryAfterMs(job, waitMs, random);
  return { kind: 'refuse', reason: 'limited', predictedMs: waitMs, retryAfterMs };
}

/** Refuses a request while all endpoints want none; callers return after the first pause, spread. */
function refuseWhilePaused(pauseMs: number, job: Job, random: Random): Placement {
  const spreadMs = Math.min(MAX_RETURN_SPREAD_MS, Math.max(MIN_RETURN_SPREAD_MS, pauseMs / 2));
  const retryAfterMs = Math.min(
    job.remainingMs * MAX_RETRY_AFTER_FRACTION,
    pauseMs + spreadMs * random.next(),
  );
  return { kind: 'refuse', reason: 'paused', predictedMs: pauseMs, retryAfterMs };
}

/** Chooses the endpoint for a request, or refuses it with a retry delay. */
export function placeJob(context: PlacementContext, job: Job): Placement {
  const { firstPauseMs = null, random } = context;
  if (context.endpoints.length === 0 && firstPauseMs !== null) {
    return refuseWhilePaused(firstPauseMs, job, random);
  }
  if (context.endpoints.length === 0) {
    const retryAfterMs = Math.min(
      NO_ENDPOINT_RETRY_AFTER_MS,
      job.remainingMs * MAX_RETRY_AFTER_FRACTION,
    );
    return { kind: 'refuse', reason: 'no-endpoint', predictedMs: 0, retryAfterMs };
  }
  const refusal = refuseWhenLimited(context, job);
  if (refusal !== null) return refusal;
  if (job.size === null) return placePlain(context, job);
  if (context.isResumed === true) return placeResumed(context, job, job.size);
  return kindOfRoute(context.state, job) === 'prefill'
    ? placePrefill(context, job, job.size)
    : placeDecode(context, job, job.size);
}
