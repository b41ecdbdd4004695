import type { RegisteredEndpoint } from '../directory/index.js';
import { rankMembers, type Random } from '../shared/index.js';
import { FAILURE_HALF_LIFE_MS } from './commands.js';
import {
  BASE_FIRST_EVENT_MS,
  heldTokens,
  ownTokens,
  prefillMs,
  sharedParts,
  stepMs,
} from './costs.js';
import { divideEngines } from './divideEngines.js';
import type { GenerationSize, Job } from './job.js';
import { paceOf, stepPaceOf } from './pace.js';
import { listHolders, uncachedTokens } from './promptCaches.js';
import { kindOfRoute, leastGap, totalLoad } from './queries.js';
import { sparesStreams } from './sparesStreams.js';
import type { SchedulingState, WorkLoad } from './state.js';

/** Where a request goes, or why it goes nowhere now and when to come back. */
export type Placement =
  | {
      readonly kind: 'send';
      readonly endpoint: RegisteredEndpoint;
      /** Prompt tokens that the endpoint is expected to read. */
      readonly tokens: number;
      /** Expected time to the first event or answer, in milliseconds. */
      readonly predictedMs: number;
    }
  | {
      readonly kind: 'refuse';
      readonly reason: 'no-endpoint' | 'full' | 'too-late';
      readonly predictedMs: number;
      readonly retryAfterMs: number;
    };

/** What a placement is decided from. */
export interface PlacementContext {
  readonly state: SchedulingState;
  /** Endpoints of the service that may be used. */
  readonly endpoints: readonly RegisteredEndpoint[];
  /** Availability zone of this VM. */
  readonly zone: string;
  readonly random: Random;
  readonly now: number;
}

interface Candidate {
  readonly endpoint: RegisteredEndpoint;
  /** Work of all VMs there. */
  readonly load: WorkLoad;
  readonly tokens: number;
  readonly predictedMs: number;
  /** Expected time to the whole answer. */
  readonly wholeMs: number;
  readonly cost: number;
}

/** Engines beside its home that a prompt may go to before any has read its parts. */
const SPILL_ENGINES = 2;

/** Reading a shared part once more is paid by all that wait behind it. */
const REREAD_WEIGHT = 2.5;

/**
 * An engine with so many tight streams gets no long prompts: it has just changed sides, its
 * streams end within seconds, and the prompts that it could read meanwhile are worth less.
 */
const MOST_TIGHT = 8;

/** Keeps a part that nobody has read yet at its home unless another is clearly freer. */
const RANK_COST_MS = 15;

/** Part of an engine's memory for running requests; the rest is left to cached parts. */
const USED_MEMORY = 0.6;

/** Requests that a wait of one idle first event counts as: a late first event is late for good. */
const DECODE_WAIT_WEIGHT = 10;

/** Part of the time left within which the whole answer must be expected. */
const WHOLE_LIMIT = 0.9;

/** Part of the target within which a first event must be expected, of returning requests too. */
const FIRST_EVENT_LIMIT = 0.85;

/** Requests that a plain endpoint may hold for each slot before it counts as full. */
const PLAIN_BACKLOG = 3;

/** An endpoint that fails this much more than the best is used when there is no other. */
const FAILED_MARGIN = 0.3;

const NO_ENDPOINT_RETRY_MS = 500;
const LEAST_RETRY_MS = 150;

/** Longest time to come back after, as a part of the time left: callers honour no more. */
const MOST_RETRY_PART = 1 / 3;

function retryAfter(job: Job, backlogMs: number, random: Random): number {
  // Spread over twice the backlog, so that a burst's tail does not return as a burst.
  const spread = backlogMs * (0.5 + random.next());
  return Math.min(job.remainingMs * MOST_RETRY_PART, Math.max(LEAST_RETRY_MS, spread));
}

/** Returns the part of an endpoint's answers that failed lately; it fades. */
function failedPart({ state, now }: PlacementContext, endpointId: string): number {
  const work = state.work.get(endpointId);
  if (work === undefined) return 0;
  return work.failedPart * 0.5 ** ((now - work.failedAt) / FAILURE_HALF_LIFE_MS);
}

function avoidFailing(context: PlacementContext): RegisteredEndpoint[] {
  const { endpoints } = context;
  if (endpoints.length < 2) return [...endpoints];
  const parts = endpoints.map(({ id }) => failedPart(context, id));
  const best = Math.min(...parts);
  return endpoints.filter((_, index) => parts[index]! <= best + FAILED_MARGIN);
}

function cheapest(candidates: readonly Candidate[]): Candidate | undefined {
  let best: Candidate | undefined;
  for (const candidate of candidates) {
    if (best === undefined || candidate.cost < best.cost) best = candidate;
  }
  return best;
}

/** Returns what a prompt's home is chosen by: its last shared part. */
function hashKey(size: GenerationSize): string {
  return sharedParts(size).at(-1)?.id ?? size.parts[0]?.id ?? '';
}

/** Returns the engines that a prompt belongs to: the first by hashing, and holders of its parts. */
function listHomes(
  { state }: PlacementContext,
  engines: readonly RegisteredEndpoint[],
  size: GenerationSize,
): RegisteredEndpoint[] {
  const key = hashKey(size);
  const holders = new Set(listHolders(state.caches, key));
  return rankMembers(key, engines).filter(
    ({ id }, rank) => rank <= SPILL_ENGINES || holders.has(id),
  );
}

/** Weighs engines for work limited by prefill, the ones before preferred to those behind. */
function weighPrefill(
  context: PlacementContext,
  engines: readonly RegisteredEndpoint[],
  size: GenerationSize,
): Candidate[] {
  const { state, now } = context;
  return engines.map((endpoint, rank) => {
    const tokens = uncachedTokens(state.caches, endpoint.id, size, now);
    const load = totalLoad(state, endpoint.id, now);
    const pace = paceOf(state, endpoint.id, now);
    const waitMs = prefillMs(load.waitingTokens) * pace;
    const readMs = prefillMs(tokens) * pace;
    const predictedMs = BASE_FIRST_EVENT_MS * pace + waitMs + readMs;
    const batch = load.waiting + load.streaming;
    const wholeMs = predictedMs + size.outputTokens * stepMs(batch, waitMs) * pace;
    const cost = waitMs + REREAD_WEIGHT * readMs + rank * RANK_COST_MS;
    return { endpoint, load, tokens, predictedMs, wholeMs, cost };
  });
}

/** Says whether an engine has a slot and memory left for one more request. */
function hasRoom({ endpoint, load }: Candidate, job: Job): boolean {
  if (load.waiting + load.streaming >= endpoint.slots) return false;
  if (job.kvTokens === null || job.size === null) return true;
  return load.heldTokens + heldTokens(job.size) <= job.kvTokens * USED_MEMORY;
}

/** Weighs the engines for work limited by decode: the smallest batch for the engine's speed. */
function weighDecode(
  { state, random, now }: PlacementContext,
  engines: readonly RegisteredEndpoint[],
  size: GenerationSize,
): Candidate[] {
  const tokens = ownTokens(size);
  return engines.map((endpoint) => {
    const load = totalLoad(state, endpoint.id, now);
    // An engine that is faster than predicted is no reason to make its batch larger.
    const pace = Math.max(1, paceOf(state, endpoint.id, now));
    const waitMs = prefillMs(load.waitingTokens) * pace;
    const predictedMs = BASE_FIRST_EVENT_MS * pace + waitMs;
    const busy = load.waiting + load.streaming;
    // Below one request, so that VMs with the same view do not all choose the same engine.
    const batch = (busy + 1) * stepPaceOf(state, endpoint.id, now);
    const cost = batch + (DECODE_WAIT_WEIGHT * predictedMs) / BASE_FIRST_EVENT_MS + random.next();
    return { endpoint, load, tokens, predictedMs, wholeMs: predictedMs, cost };
  });
}

function placeDecode(context: PlacementContext, job: Job, size: GenerationSize): Placement {
  const { state, random, now } = context;
  const usable = avoidFailing(context);
  const { own, rest } = divideEngines(state, job.serviceId, usable, 'decode', now);
  const isFree = (candidate: Candidate) => hasRoom(candidate, job);
  const best =
    cheapest(weighDecode(context, own, size).filter(isFree)) ??
    cheapest(weighDecode(context, rest, size).filter(isFree));
  if (best !== undefined) return { kind: 'send', ...best };
  const retryAfterMs = retryAfter(job, job.targetMs, random);
  return { kind: 'refuse', reason: 'full', predictedMs: job.targetMs, retryAfterMs };
}

function placePrefill(context: PlacementContext, job: Job, size: GenerationSize): Placement {
  const { state, random, now } = context;
  const usable = avoidFailing(context);
  const { own, rest } = divideEngines(state, job.serviceId, usable, 'prefill', now);
  const weighed = weighPrefill(context, listHomes(context, own, size), size);
  const weighOthers = (engines: readonly RegisteredEndpoint[]) =>
    weighPrefill(context, rankMembers(hashKey(size), engines), size);
  const gapMs = leastGap(state, job.serviceId);
  const isSparing = ({ load, tokens }: Candidate) => sparesStreams(load, job, tokens, gapMs);
  const isClear = ({ load }: Candidate) => load.tight <= MOST_TIGHT || own.length === usable.length;
  const limitMs = job.targetMs * FIRST_EVENT_LIMIT;
  const isInTime = (candidate: Candidate) =>
    candidate.predictedMs <= limitMs &&
    candidate.wholeMs <= job.remainingMs * WHOLE_LIMIT &&
    hasRoom(candidate, job);
  // Reading the shared parts once more is worth less than an answer.
  const best =
    cheapest(weighed.filter(isClear).filter(isInTime)) ??
    cheapest(weighOthers(own).filter(isClear).filter(isInTime)) ??
    cheapest(
      weighOthers([...own, ...rest])
        .filter(isSparing)
        .filter(isInTime),
    );
  if (best !== undefined) return { kind: 'send', ...best };
  const predictedMs = Math.min(...weighed.map((candidate) => candidate.predictedMs));
  const retryAfterMs = retryAfter(job, predictedMs, random);
  return { kind: 'refuse', reason: 'too-late', predictedMs, retryAfterMs };
}

function placePlain(context: PlacementContext, job: Job): Placement {
  const { state, zone, random, now } = context;
  const weighed = avoidFailing(context).map((endpoint) => {
    const load = totalLoad(state, endpoint.id, now);
    const busy = (load.waiting + load.streaming) / endpoint.slots;
    const far = endpoint.zone === zone ? 0 : 0.15;
    const cost = busy + far + random.next() * 0.1;
    const predictedMs = job.targetMs / 2;
    return { endpoint, load, tokens: 0, predictedMs, wholeMs: predictedMs, cost };
  });
  const best = cheapest(weighed.filter(({ cost }) => cost < PLAIN_BACKLOG));
  if (best !== undefined) return { kind: 'send', ...best };
  const retryAfterMs = retryAfter(job, job.targetMs, random);
  return { kind: 'refuse', reason: 'full', predictedMs: job.targetMs, retryAfterMs };
}

/** Chooses the endpoint for a request, or refuses it with the time to come back. */
export function placeJob(context: PlacementContext, job: Job): Placement {
  if (context.endpoints.length === 0) {
    const retryAfterMs = Math.min(NO_ENDPOINT_RETRY_MS, job.remainingMs * MOST_RETRY_PART);
    return { kind: 'refuse', reason: 'no-endpoint', predictedMs: 0, retryAfterMs };
  }
  if (job.size === null) return placePlain(context, job);
  return kindOfRoute(context.state, job) === 'prefill'
    ? placePrefill(context, job, job.size)
    : placeDecode(context, job, job.size);
}
