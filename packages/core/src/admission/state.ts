import type { PoolId, Request } from '../types/index.js';

/** Requests of one class waiting for one pool, first come first. */
export interface Lane {
  readonly classId: string;
  readonly waiting: Request[];
  /** Tokens served so far over the class's share: the lane with the least goes next. */
  virtualTime: number;
}

/** What waits on this VM. */
export interface AdmissionState {
  readonly pools: Map<PoolId, Map<string, Lane>>;
}

/** Creates the state of a VM on which nothing waits. */
export function createAdmissionState(): AdmissionState {
  return { pools: new Map() };
}
