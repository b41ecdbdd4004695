/** An instant between two polls of an event loop. */
export interface LoopTurn {
  /** Epoch milliseconds. */
  readonly at: number;
  /** Time that the loop had spent waiting for events by then, in milliseconds. */
  readonly idleMs: number;
}

/** A time in which the loop did not poll. */
export interface Standstill {
  /** Epoch milliseconds. */
  readonly endedAt: number;
  readonly lengthMs: number;
}

/** What a process knows of the delay of its event loop. */
export interface LoopDelayState {
  /** The latest instant after which the loop has polled, or will. */
  latest: LoopTurn;
  /** The one before. */
  previous: LoopTurn;
  /** Time of the latest heartbeat; epoch milliseconds. */
  beatAt: number;
  /** Oldest first. */
  readonly standstills: Standstill[];
}

/** Creates the state of a process that is on time. */
export function createLoopDelayState(turn: LoopTurn): LoopDelayState {
  return { latest: turn, previous: turn, beatAt: turn.at, standstills: [] };
}
