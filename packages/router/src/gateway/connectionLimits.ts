/** Descriptors for files, servers, the store, peers and checks; half of all where there are few. */
const OWN_DESCRIPTORS = 64;

/** Fractions of the others from which new callers are refused, and no more are accepted. */
const REFUSAL_FRACTION = 5 / 8;
const MAX_FRACTION = 3 / 4;

/** Numbers of connections of callers. The descriptors above them are for calls to endpoints. */
export interface ConnectionLimits {
  /** Requests on the connections above this number are refused. */
  readonly refusalCount: number;
  /** Connections above this number are closed as soon as they open. */
  readonly maxCount: number;
}

/** Limits of a process whose settings name no number of descriptors. */
export const UNLIMITED: ConnectionLimits = {
  refusalCount: Number.POSITIVE_INFINITY,
  maxCount: Number.POSITIVE_INFINITY,
};

/** Divides the descriptors of a process. */
export function divideDescriptors(descriptors: number): ConnectionLimits {
  const shared = Math.max(descriptors - OWN_DESCRIPTORS, descriptors / 2);
  return {
    refusalCount: Math.floor(shared * REFUSAL_FRACTION),
    maxCount: Math.floor(shared * MAX_FRACTION),
  };
}
