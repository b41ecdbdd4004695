/** A service whose endpoints fall over when they turn too many requests away. */
export interface BrittleService {
  /** Time at which an answer last said so, here or at a peer; epoch milliseconds. */
  seenAt: number;
  /** Requests that one endpoint may turn away in a second, over all VMs. */
  brittleness: number;
  /** Mean time that a request takes, in milliseconds. */
  meanRunMs: number;
}

/** A request that waits at this VM for a slot. */
export interface Waiter {
  readonly serviceId: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Starts the request; a slot may be free. */
  readonly wake: () => void;
}

/** Brittle services, what this VM has sent to their endpoints, and what waits for it. */
export interface BrittlenessState {
  readonly vmId: string;
  /** By service id. */
  readonly services: Map<string, BrittleService>;
  /** Requests of this VM that an endpoint may still have; by endpoint id. */
  readonly held: Map<string, number>;
  /** Time at which an endpoint last turned a request of this VM away; by endpoint id. */
  readonly turnedAwayAt: Map<string, number>;
  /** Most urgent first, then in order of arrival. */
  readonly waiters: Waiter[];
  /** VMs that share the slots of endpoints, sorted. */
  vmIds: readonly string[];
}

/** Creates the state of a VM that knows no brittle service. */
export function createBrittlenessState(vmId: string): BrittlenessState {
  return {
    vmId,
    services: new Map(),
    held: new Map(),
    turnedAwayAt: new Map(),
    waiters: [],
    vmIds: [vmId],
  };
}
