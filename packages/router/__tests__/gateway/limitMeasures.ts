import type { Arrival, LimitedEndpoint } from './limitedEndpoint.js';

/** Window in which arrivals are counted. */
const WINDOW_MS = 4000;

/** Arrivals allowed in a window: so many times what the limit allows, and some more. */
const LIMIT_FACTOR = 1.5;
const LIMIT_SLACK = 5;

/** Time for which a limit that was lowered or has begun does not bind yet. */
const TOLD_MS = 500;

const STEP_MS = 50;

const MS_PER_SECOND = 1000;

/** A span of time, in milliseconds of the clock of the arrivals. */
export interface Span {
  readonly from: number;
  readonly until: number;
}

/** Returns the limit that binds at a time: the highest that was named in the last half second. */
function findBindingLimit(endpoint: LimitedEndpoint, at: number): number {
  const limits: number[] = [];
  for (let told = at - TOLD_MS; told <= at; told += STEP_MS) {
    limits.push(endpoint.limitAt(told) ?? Number.POSITIVE_INFINITY);
  }
  return Math.max(...limits);
}

/** Returns the most arrivals in a window beyond those allowed; negative when all are kept. */
export function measureExcess(
  endpoint: LimitedEndpoint,
  isCounted: (arrival: Arrival) => boolean,
  span: Span,
): number {
  const counted = endpoint.arrivals.filter(isCounted);
  let excess = Number.NEGATIVE_INFINITY;
  for (let { from } = span; from + WINDOW_MS <= span.until; from += STEP_MS) {
    const start = from;
    const isIn = ({ at }: Arrival) => at >= start && at < start + WINDOW_MS;
    let allowed = LIMIT_SLACK;
    for (let at = from; at < from + WINDOW_MS; at += STEP_MS) {
      allowed += LIMIT_FACTOR * findBindingLimit(endpoint, at) * (STEP_MS / MS_PER_SECOND);
    }
    excess = Math.max(excess, counted.filter(isIn).length - allowed);
  }
  return excess;
}

/** Returns the arrivals while a limit is named, divided by what it allows. */
export function measureUse(endpoint: LimitedEndpoint, { from, until }: Span): number {
  let allowed = 0;
  let arrivals = 0;
  for (let at = from; at < until; at += STEP_MS) {
    const limit = endpoint.limitAt(at);
    if (limit !== null) {
      allowed += limit * (STEP_MS / MS_PER_SECOND);
      const isIn = (arrival: Arrival) => arrival.at >= at && arrival.at < at + STEP_MS;
      arrivals += endpoint.arrivals.filter(isIn).length;
    }
  }
  return allowed === 0 ? 1 : arrivals / allowed;
}
