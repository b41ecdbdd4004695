/** Queue of requests to one endpoint. */
export interface EndpointQueue {
  /** Maximum number of requests sent at once. */
  readonly slots: number;
  inFlight: number;
  readonly waiting: readonly unknown[];
}

/** Chooses the endpoint of a request, without regard to its class. */
export interface EndpointChooser {
  choose<T extends EndpointQueue>(queues: readonly T[]): T;
}

/** Chooses the endpoints in turn. */
export class RoundRobin implements EndpointChooser {
  #next = 0;

  choose<T extends EndpointQueue>(queues: readonly T[]): T {
    this.#next += 1;
    return queues[this.#next % queues.length]!;
  }
}

function countOutstanding(queue: EndpointQueue): number {
  return queue.inFlight + queue.waiting.length;
}

/** Chooses the endpoint with the fewest requests of this router, sent or waiting. */
export class LeastOutstanding implements EndpointChooser {
  #turn = 0;

  choose<T extends EndpointQueue>(queues: readonly T[]): T {
    // Each choice starts at the next endpoint, to spread requests over those that have equally few.
    this.#turn += 1;
    const start = this.#turn % queues.length;
    const turned = [...queues.slice(start), ...queues.slice(0, start)];
    return turned.reduce((best, queue) =>
      countOutstanding(queue) < countOutstanding(best) ? queue : best,
    );
  }
}

/** Names of the baselines. */
export const baselineNames = ['round-robin', 'least-outstanding'] as const;

/** Name of a baseline. */
export type BaselineName = (typeof baselineNames)[number];

/** Creates the endpoint chooser of a baseline. */
export function createEndpointChooser(name: BaselineName): EndpointChooser {
  return name === 'round-robin' ? new RoundRobin() : new LeastOutstanding();
}
