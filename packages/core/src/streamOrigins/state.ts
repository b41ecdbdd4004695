import type { StreamOrigin } from './origin.js';

/** The origin of a stream, as a VM knows it. */
export interface RecordedOrigin extends StreamOrigin {
  /** Time at which a VM first recorded it; epoch milliseconds. */
  readonly at: number;
  /** True when the stream began at this VM. */
  readonly isOwn: boolean;
}

/** Where streams began that callers may take up, and which software versions serve. */
export interface StreamOriginState {
  /** By stream key, in the order in which this VM recorded them. */
  readonly origins: Map<string, RecordedOrigin>;
  /** By service id and version, the time at which an endpoint of it was last seen; epoch milliseconds. */
  readonly versionsSeenAt: Map<string, Map<string | null, number>>;
  /** Time since which all versions that served are known; epoch milliseconds, infinite for none. */
  knownSince: number;
}

/** Creates the state of a VM that knows no stream. */
export function createStreamOriginState(): StreamOriginState {
  return { origins: new Map(), versionsSeenAt: new Map(), knownSince: Number.POSITIVE_INFINITY };
}
