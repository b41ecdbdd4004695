/** The queue before one endpoint. */
export interface Lane {
  readonly slots: number;
  inFlight: number;
  readonly waiting: readonly unknown[];
}

/** A baseline's way of choosing the endpoint of a request, without regard to its class. */
export interface Choice {
  choose<T extends Lane>(lanes: readonly T[]): T;
}

/** Takes the endpoints in turn. */
export class RoundRobin implements Choice {
  #next = 0;

  choose<T extends Lane>(lanes: readonly T[]): T {
    this.#next += 1;
    return lanes[this.#next % lanes.length]!;
  }
}

function outstanding(lane: Lane): number {
  return lane.inFlight + lane.waiting.length;
}

/** Takes the endpoint with the fewest requests of this router, sent or waiting. */
export class LeastOutstanding implements Choice {
  #turn = 0;

  choose<T extends Lane>(lanes: readonly T[]): T {
    // The turn spreads requests over endpoints that have equally few.
    this.#turn += 1;
    const start = this.#turn % lanes.length;
    const turned = [...lanes.slice(start), ...lanes.slice(0, start)];
    return turned.reduce((best, lane) => (outstanding(lane) < outstanding(best) ? lane : best));
  }
}

/** Names of the baselines. */
export const baselineNames = ['round-robin', 'least-outstanding'] as const;

/** Name of a baseline. */
export type BaselineName = (typeof baselineNames)[number];

/** Creates a baseline's choice by its name. */
export function createChoice(name: BaselineName): Choice {
  return name === 'round-robin' ? new RoundRobin() : new LeastOutstanding();
}
