import { claimRules, type ClaimRule } from '@filbertlatch/core';

import { searchAll, searchRandom, type Finding } from './search.js';
import { allSituations } from './situations.js';
import type { Situation } from './world.js';

const MOST_MOVES = 70;

/** How far a check goes. */
export interface Bounds {
  /** Most states visited in each situation. */
  readonly states: number;
  /** Random histories followed in each situation. */
  readonly histories: number;
  readonly seed: number;
}

/** Returns all rules but the one that is turned off. */
export function rulesWithout(weakened: ClaimRule | null): ReadonlySet<ClaimRule> {
  return new Set(claimRules.filter((rule) => rule !== weakened));
}

/** Searches every situation; stops at the first double run. */
export function checkRules(
  weakened: ClaimRule | null,
  bounds: Bounds,
  onFinding: (finding: Finding, kind: 'states' | 'histories') => void = () => {},
  situations: readonly Situation[] = allSituations,
): Finding[] {
  const rules = rulesWithout(weakened);
  const findings: Finding[] = [];
  for (const situation of situations) {
    const { histories, states, seed } = bounds;
    const random = searchRandom(situation, rules, histories, MOST_MOVES, seed);
    onFinding(random, 'histories');
    findings.push(random);
    if (random.violation !== null) return findings;
    const all = searchAll(situation, rules, states);
    onFinding(all, 'states');
    findings.push(all);
    if (all.violation !== null) return findings;
  }
  return findings;
}
