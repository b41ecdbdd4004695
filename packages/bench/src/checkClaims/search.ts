import { createRandom, digestText, randomInteger, type ClaimRule } from '@filbertlatch/core';

import { listMoves } from './moves.js';
import { createWorld, describeWorld, type Situation, type World } from './world.js';

/** What a search came to. */
export interface Finding {
  readonly situation: string;
  /** Different states visited, or histories followed by a random search. */
  readonly states: number;
  /** True when no state was left unvisited. */
  readonly isWhole: boolean;
  /** Moves that lead to a second run of the key; null when there is none. */
  readonly violation: readonly string[] | null;
}

interface Step {
  readonly world: World;
  readonly before: Step | null;
  readonly name: string;
}

function traceOf(step: Step): string[] {
  const names: string[] = [];
  for (let at: Step | null = step; at !== null; at = at.before) names.push(at.name);
  return names.reverse();
}

/** Visits every state that can be reached, nearest first, up to a bound. */
export function searchAll(
  situation: Situation,
  rules: ReadonlySet<ClaimRule>,
  mostStates: number,
): Finding {
  const first: Step = { world: createWorld(situation, rules), before: null, name: 'start' };
  const seen = new Set([digestText(describeWorld(first.world))]);
  let layer: Step[] = [first];
  while (layer.length > 0) {
    const next: Step[] = [];
    for (const step of layer) {
      for (const move of listMoves(step.world, situation, rules)) {
        const world = move.apply();
        const digest = digestText(describeWorld(world));
        if (seen.has(digest)) continue;
        seen.add(digest);
        const found = { world, before: step, name: move.name };
        if (world.runs > 1) {
          const violation = traceOf(found);
          return { situation: situation.name, states: seen.size, isWhole: false, violation };
        }
        if (seen.size >= mostStates) {
          const { name } = situation;
          return { situation: name, states: seen.size, isWhole: false, violation: null };
        }
        next.push(found);
      }
    }
    layer = next;
  }
  return { situation: situation.name, states: seen.size, isWhole: true, violation: null };
}

/** Follows random histories of a situation, each to its end or to a bound of moves. */
export function searchRandom(
  situation: Situation,
  rules: ReadonlySet<ClaimRule>,
  histories: number,
  mostMoves: number,
  seed: number,
): Finding {
  const random = createRandom(seed);
  const start = createWorld(situation, rules);
  for (let history = 0; history < histories; history += 1) {
    let step: Step = { world: start, before: null, name: 'start' };
    for (let at = 0; at < mostMoves; at += 1) {
      const moves = listMoves(step.world, situation, rules);
      if (moves.length === 0) break;
      const move = moves[randomInteger(random, moves.length)]!;
      step = { world: move.apply(), before: step, name: move.name };
      if (step.world.runs > 1) {
        const violation = traceOf(step);
        return { situation: situation.name, states: history + 1, isWhole: false, violation };
      }
    }
  }
  return { situation: situation.name, states: histories, isWhole: false, violation: null };
}
