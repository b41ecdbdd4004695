import { createRate, type Rate } from '../shared/index.js';
import { createPromptCaches, type PromptCaches } from './promptCaches.js';

/** What limits an engine under a kind of work: reading prompts, or producing tokens. */
export type WorkKind = 'prefill' | 'decode' | 'plain';

/** Work at one endpoint: requests without a first event yet, and those that run. */
export interface WorkLoad {
  /** Requests that have no answer or first event yet. */
  waiting: number;
  /** Streams that produce events. */
  streaming: number;
  /** Prompt tokens of the waiting requests that no cache holds. */
  waitingTokens: number;
  /** Memory that its requests take until they end, in tokens. */
  heldTokens: number;
  /** Requests limited by decode, whose pauses long prompts beside them stretch. */
  tight: number;
}

/** Sums of observed times divided by what was expected, and their number. */
export interface Pace {
  readonly ratios: Rate;
  readonly samples: Rate;
}

/** A request without a first event yet. */
export interface WaitingWork {
  readonly sentAt: number;
  readonly predictedMs: number;
}

/** What this VM knows of one endpoint. */
export interface EndpointWork {
  readonly own: WorkLoad;
  /** Times to first events against the predicted ones lately. */
  readonly pace: Pace;
  /** Times between events of whole streams against what a batch of that size should take. */
  readonly stepPace: Pace;
  /** Requests that wait for their first event. */
  readonly waiting: Set<WaitingWork>;
  /** Part of the answers that were failures, lately. */
  failedPart: number;
  /** Instant of the last answer that `failedPart` counts. */
  failedAt: number;
}

/** Work that a VM sees arrive for one service, in endpoint milliseconds per millisecond. */
export interface Demand {
  readonly prefill: Rate;
  readonly decode: Rate;
}

/** One VM's sums of ratios and their numbers for an endpoint: first events, then steps. */
export interface ToldPace {
  readonly first: readonly [number, number];
  readonly step: readonly [number, number];
}

/** What another VM told of its own work. */
export interface PeerWork {
  /** Instant at which it came. */
  readonly at: number;
  /** By endpoint. */
  readonly loads: ReadonlyMap<string, WorkLoad>;
  /** By endpoint. */
  readonly paces: ReadonlyMap<string, ToldPace>;
  /** Engines for decode by service, as it divides them. */
  readonly borders: ReadonlyMap<string, number>;
  /** Prefill and decode demand by service. */
  readonly demand: ReadonlyMap<string, readonly [number, number]>;
}

/** Sizes of a route's requests lately; they tell what limits an engine that runs them. */
export interface RouteProfile {
  readonly serviceId: string;
  promptTokens: number;
  outputTokens: number;
  /** Mean rank of its requests; 0 is the most urgent. */
  priority: number;
  /** Longest pause between events that earns full worth; null where any will do. */
  gapTargetMs: number | null;
}

/** Where parts of prompts were read lately, and how busy all endpoints are. */
export interface SchedulingState {
  readonly vmId: string;
  readonly work: Map<string, EndpointWork>;
  readonly demand: Map<string, Demand>;
  readonly profiles: Map<string, RouteProfile>;
  readonly peers: Map<string, PeerWork>;
  readonly caches: PromptCaches;
  /** Engines for decode by service, as divided last. */
  readonly borders: Map<string, number>;
}

/** Creates the state of a VM that has sent nothing. */
export function createSchedulingState(vmId: string): SchedulingState {
  return {
    vmId,
    work: new Map(),
    demand: new Map(),
    profiles: new Map(),
    peers: new Map(),
    caches: createPromptCaches(),
    borders: new Map(),
  };
}

/** Creates the load of an endpoint that has nothing to do. */
export function createWorkLoad(): WorkLoad {
  return { waiting: 0, streaming: 0, waitingTokens: 0, heldTokens: 0, tight: 0 };
}

/** Pace is followed this fast: about as long as a request waits on a busy engine. */
const PACE_TIME_MS = 800;

/** The speed of an engine's steps is followed slower: it is mostly the engine's own. */
const STEP_PACE_TIME_MS = 3000;

function createPace(timeMs: number): Pace {
  return { ratios: createRate(timeMs), samples: createRate(timeMs) };
}

/** Creates the work of an endpoint that nothing was sent to. */
export function createEndpointWork(): EndpointWork {
  return {
    own: createWorkLoad(),
    pace: createPace(PACE_TIME_MS),
    stepPace: createPace(STEP_PACE_TIME_MS),
    waiting: new Set(),
    failedPart: 0,
    failedAt: 0,
  };
}

/** Demand is followed this fast: a burst grows to its height within a second. */
const DEMAND_TIME_MS = 1000;

/** Creates the demand of a service that nobody asked for yet. */
export function createDemand(): Demand {
  return { prefill: createRate(DEMAND_TIME_MS), decode: createRate(DEMAND_TIME_MS) };
}

/** What a peer told counts for so long; it tells several times a second. */
const PEER_FRESH_MS = 1500;

/** Says whether what a peer told still counts. */
export function isFresh({ at }: PeerWork, now: number): boolean {
  return now - at <= PEER_FRESH_MS;
}
