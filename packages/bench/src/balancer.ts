import type { Random } from '@filbertlatch/core';

/** Chooses the URL of the router that a request is sent to, as a load balancer before the fleet. */
export type Balancer = (random: Random) => string;

/** One router behind the balancer. */
export interface BalancedEntry {
  readonly url: string;
  /** Share of the requests, relative to the weights of the others. */
  readonly weight: number;
  /** Returns whether the balancer still sends requests there. */
  isUp(): boolean;
}

/** Creates a balancer that spreads requests by weight over the entries that are up; throws if none is. */
export function createBalancer(targets: readonly BalancedEntry[]): Balancer {
  return (random) => {
    const up = targets.filter((target) => target.isUp());
    const total = up.reduce((sum, target) => sum + target.weight, 0);
    let left = random.next() * total;
    for (const target of up) {
      left -= target.weight;
      if (left < 0) return target.url;
    }
    const last = up.at(-1);
    if (last === undefined) throw new Error('no entry is up');
    return last.url;
  };
}
