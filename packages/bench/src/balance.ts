import type { Random } from '@filbertlatch/core';

/** Chooses the address that an arrival goes to, as the platform's balancer would. */
export type Balance = (random: Random) => string;

/** One address behind the balancer. */
export interface BalanceTarget {
  readonly url: string;
  /** Part of the arrivals, relative to the others. */
  readonly weight: number;
  /** Says whether the balancer still sends there. */
  isUp(): boolean;
}

/** Creates a balancer that spreads arrivals by weight over the addresses that are up. */
export function createBalance(targets: readonly BalanceTarget[]): Balance {
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
