import type { State } from '@filbertlatch/router';

/** Tokens per second that each class uses now, over the VMs asked; null when none was asked. */
export type Use = ReadonlyMap<string, number> | null;

/** Adds up the use of each class over several VMs. */
export function sumUse(states: readonly State[]): Use {
  if (states.length === 0) return null;
  const use = new Map<string, number>();
  states
    .flatMap((state) => state.classes)
    .forEach(({ id, tokensPerSecond }) => use.set(id, (use.get(id) ?? 0) + tokensPerSecond));
  return use;
}
