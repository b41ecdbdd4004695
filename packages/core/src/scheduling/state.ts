import { createDecayingRate, type DecayingRate } from '../shared/index.js';
import type { SizeGroups } from './sizeGroups.js';
import { createPrefixCacheEstimate, type PrefixCacheEstimate } from './prefixCacheEstimate.js';

/**
 * What bounds the time of a request on an engine: `prefill` (reading its prompt) or `decode`
 * (producing its tokens); `plain` for requests to plain services.
 */
export type WorkKind = 'prefill' | 'decode' | 'plain';

/** The load of one endpoint: numbers of requests and of their tokens. */
export interface WorkLoad {
  /** Requests without a first event or answer. */
  waiting: number;
  /** Requests that have had their first event. */
  streaming: number;
  /** Uncached prompt tokens of the waiting requests. */
  waitingTokens: number;
  /** KV cache memory that its requests occupy until they end, in tokens. */
  heldTokens: number;
  /** Decode-bound requests; prefills on the same engine lengthen the gaps between their events. */
  tight: number;
}

/**
 * How slow an endpoint is compared to the prediction: decaying sums of the ratios of observed to
 * expected times, and of their number. Above 1 is slower than expected.
 */
export interface Pace {
  readonly ratios: DecayingRate;
  readonly samples: DecayingRate;
}

/** A request without a first event. */
export interface WaitingWork {
  /** Instant of dispatch, in milliseconds. */
  readonly sentAt: number;
  /** Expected time to the first event, in milliseconds. */
  readonly predictedMs: number;
}

/** What this VM has observed of one endpoint. */
export interface EndpointWork {
  /** Load of this VM's own requests. */
  readonly own: WorkLoad;
  /** Recent times to first events, relative to the predicted ones. */
  readonly pace: Pace;
  /** Recent step times, from the gaps in ended streams, relative to those expected. */
  readonly stepPace: Pace;
  /** Requests that wait for their first event. */
  readonly waiting: Set<WaitingWork>;
  /** Failure rate, 0 to 1: a moving average over the outcomes. */
  failedPart: number;
  /** Instant of the last outcome that `failedPart` includes, in milliseconds. */
  failedAt: number;
}

/** Work that arrives at a VM for one service, in engines: engine time per elapsed time. */
export interface Demand {
  readonly prefill: DecayingRate;
  readonly decode: DecayingRate;
}

/** One VM's paces of an endpoint, each as [sum of ratios, number of samples]. */
export interface PaceSums {
  readonly first: readonly [number, number];
  readonly step: readonly [number, number];
}

/** What another VM reported of its own work. */
export interface PeerWork {
  /** Instant of receipt, in milliseconds. */
  readonly at: number;
  /** Load of the VM's requests by endpoint id. */
  readonly loads: ReadonlyMap<string, WorkLoad>;
  /** Sums of the VM's paces by endpoint id. */
  readonly paces: ReadonlyMap<string, PaceSums>;
  /** Number of engines that the VM assigns to decode, by service id. */
  readonly borders: ReadonlyMap<string, number>;
  /** Prefill and decode demand in engines, by service id. */
  readonly demand: ReadonlyMap<string, readonly [number, number]>;
}

/** Moving averages over a route's requests, which decide its kind of work. */
export interface RouteProfile {
  readonly serviceId: string;
  promptTokens: number;
  outputTokens: number;
  /** Mean priority rank; 0 is the most urgent. */
  priority: number;
  /** Gap target of the latest request, in milliseconds; null when there is none. */
  gapTargetMs: number | null;
  /** Moving average of the prompt tokens that no other request shares. */
  unsharedTokens: number;
  readonly sizes: SizeGroups;
}

/** Loads, paces, demand and prefix cache estimates, of this VM and as its peers reported them. */
export interface SchedulingState {
  readonly vmId: string;
  /** This VM's work by endpoint id. */
  readonly work: Map<string, EndpointWork>;
  /** This VM's demand by service id. */
  readonly demand: Map<string, Demand>;
  /** Profiles by route id. */
  readonly profiles: Map<string, RouteProfile>;
  /** Latest report of each peer by VM id. */
  readonly peers: Map<string, PeerWork>;
  readonly prefixCaches: PrefixCacheEstimate;
  /** Number of engines last assigned to decode, by service id. */
  readonly borders: Map<string, number>;
}

/** Creates the state of a VM that has sent no request. */
export function createSchedulingState(vmId: string): SchedulingState {
  return {
    vmId,
    work: new Map(),
    demand: new Map(),
    profiles: new Map(),
    peers: new Map(),
    prefixCaches: createPrefixCacheEstimate(),
    borders: new Map(),
  };
}

/** Creates the load of an idle endpoint. */
export function createWorkLoad(): WorkLoad {
  return { waiting: 0, streaming: 0, waitingTokens: 0, heldTokens: 0, tight: 0 };
}

/** Time constant of the first-event pace: about as long as a request waits on a busy engine. */
const FIRST_EVENT_PACE_TIME_CONSTANT_MS = 800;

/** Longer than for the first-event pace: step time depends mostly on the engine itself. */
const STEP_PACE_TIME_CONSTANT_MS = 3000;

function createPace(timeConstantMs: number): Pace {
  return {
    ratios: createDecayingRate(timeConstantMs),
    samples: createDecayingRate(timeConstantMs),
  };
}

/** Creates the work of an endpoint that no request was sent to. */
export function createEndpointWork(): EndpointWork {
  return {
    own: createWorkLoad(),
    pace: createPace(FIRST_EVENT_PACE_TIME_CONSTANT_MS),
    stepPace: createPace(STEP_PACE_TIME_CONSTANT_MS),
    waiting: new Set(),
    failedPart: 0,
    failedAt: 0,
  };
}

/** Time constant of demand: a burst peaks within a second. */
const DEMAND_TIME_CONSTANT_MS = 1000;

/** Creates the demand of a service that has had no request. */
export function createDemand(): Demand {
  return {
    prefill: createDecayingRate(DEMAND_TIME_CONSTANT_MS),
    decode: createDecayingRate(DEMAND_TIME_CONSTANT_MS),
  };
}

/** Age above which a peer's report no longer counts; peers report several times a second. */
const MAX_PEER_AGE_MS = 1500;

/** Says whether a peer's report is recent enough to count. */
export function isFreshReport({ at }: PeerWork, now: number): boolean {
  return now - at <= MAX_PEER_AGE_MS;
}
