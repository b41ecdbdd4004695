import { createRandom, digestText, randomInteger, type ClaimRule } from '@filbertlatch/core';

import { listMoves } from './moves.js';
import { createWorld, describeWorld, type Situation, type World } from './world.js';

/** Result of searching one situation. */
export interface SearchResult {
  readonly situation: string;
  /** Distinct states visited, or histories followed by a random search. */
  readonly states: number;
  /** True when every reachable state was visited. */
  readonly isExhaustive: boolean;
  /** Names of the moves that lead to a second run of the key; null when none was found. */
  readonly violation: readonly string[] | null;
}

/** A visited state and the move that led to it. */
interface SearchNode {
  readonly world: World;
  /** Null for the initial state. */
  readonly previous: SearchNode | null;
  /** Name of the move that led here. */
  readonly name: string;
}

function listMoveNames(step: SearchNode): string[] {
  const names: string[] = [];
  for (let at: SearchNode | null = step; at !== null; at = at.previous) names.push(at.name);
  return names.reverse();
}

/** Visits the reachable states breadth first, until a second run or `maxStates` states. */
export function searchBreadthFirst(
  situation: Situation,
  rules: ReadonlySet<ClaimRule>,
  maxStates: number,
): SearchResult {
  const first: SearchNode = {
    world: createWorld(situation, rules),
    previous: null,
    name: 'start',
  };
  const seen = new Set([digestText(describeWorld(first.world))]);
  let layer: SearchNode[] = [first];
  while (layer.length > 0) {
    const next: SearchNode[] = [];
    for (const step of layer) {
      for (const move of listMoves(step.world, situation, rules)) {
        const world = move.apply();
        const digest = digestText(describeWorld(world));
        if (seen.has(digest)) continue;
        seen.add(digest);
        const found = { world, previous: step, name: move.name };
        if (world.runs > 1) {
          const violation = listMoveNames(found);
          return { situation: situation.name, states: seen.size, isExhaustive: false, violation };
        }
        if (seen.size >= maxStates) {
          const { name } = situation;
          return { situation: name, states: seen.size, isExhaustive: false, violation: null };
        }
        next.push(found);
      }
    }
    layer = next;
  }
  return { situation: situation.name, states: seen.size, isExhaustive: true, violation: null };
}

/** Follows random histories of a situation, each to its end or for `maxMoves` moves. */
export function searchRandomHistories(
  situation: Situation,
  rules: ReadonlySet<ClaimRule>,
  histories: number,
  maxMoves: number,
  seed: number,
): SearchResult {
  const random = createRandom(seed);
  const start = createWorld(situation, rules);
  for (let history = 0; history < histories; history += 1) {
    let step: SearchNode = { world: start, previous: null, name: 'start' };
    for (let at = 0; at < maxMoves; at += 1) {
      const moves = listMoves(step.world, situation, rules);
      if (moves.length === 0) break;
      const move = moves[randomInteger(random, moves.length)]!;
      step = { world: move.apply(), previous: step, name: move.name };
      if (step.world.runs > 1) {
        const violation = listMoveNames(step);
        return { situation: situation.name, states: history + 1, isExhaustive: false, violation };
      }
    }
  }
  return { situation: situation.name, states: histories, isExhaustive: false, violation: null };
}
