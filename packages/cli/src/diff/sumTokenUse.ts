import type { State } from '@filbertlatch/router';

/** Current tokens per second by class id, summed over VMs; null without any VM’s state. */
export type TokenUse = ReadonlyMap<string, number> | null;

/** Sums the tokens per second of each class over the states of several VMs. */
export function sumTokenUse(states: readonly State[]): TokenUse {
  if (states.length === 0) return null;
  const use = new Map<string, number>();
  states
    .flatMap((state) => state.classes)
    .forEach(({ id, tokensPerSecond }) => use.set(id, (use.get(id) ?? 0) + tokensPerSecond));
  return use;
}
