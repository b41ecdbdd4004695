import { claimRules, type ClaimRule } from '@filbertlatch/core';

import { searchBreadthFirst, searchRandomHistories, type SearchResult } from './search.js';
import { allSituations } from './situations.js';
import type { Situation } from './world.js';

const MAX_MOVES_PER_HISTORY = 70;

/** Bounds of a check. */
export interface SearchBounds {
  /** Maximum number of states visited in each situation. */
  readonly states: number;
  /** Number of random histories followed in each situation. */
  readonly histories: number;
  /** Seed of the random histories. */
  readonly seed: number;
}

/** Returns all claim rules except the disabled one; null disables none. */
export function rulesWithout(disabledRule: ClaimRule | null): ReadonlySet<ClaimRule> {
  return new Set(claimRules.filter((rule) => rule !== disabledRule));
}

/**
 * Searches every situation for a second run of a key, first by random histories and then breadth
 * first. Stops at the first violation.
 */
export function checkRules(
  disabledRule: ClaimRule | null,
  bounds: SearchBounds,
  onResult: (result: SearchResult, kind: 'states' | 'histories') => void = () => {},
  situations: readonly Situation[] = allSituations,
): SearchResult[] {
  const rules = rulesWithout(disabledRule);
  const results: SearchResult[] = [];
  for (const situation of situations) {
    const { histories, states, seed } = bounds;
    const random = searchRandomHistories(situation, rules, histories, MAX_MOVES_PER_HISTORY, seed);
    onResult(random, 'histories');
    results.push(random);
    if (random.violation !== null) return results;
    const all = searchBreadthFirst(situation, rules, states);
    onResult(all, 'states');
    results.push(all);
    if (all.violation !== null) return results;
  }
  return results;
}
