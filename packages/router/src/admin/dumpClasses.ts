import { listLaneLengths, type Class, type Core } from '@filbertlatch/core';

import { ATTAINMENT_WINDOW_MS, type Attainment } from '../observation/index.js';
import type { ClassReport } from './schemas.js';

const MS_PER_SECOND = 1000;

function countWaiting(core: Core): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { classId, waiting } of listLaneLengths(core.admission)) {
    counts.set(classId, (counts.get(classId) ?? 0) + waiting);
  }
  return counts;
}

function describeClass(
  { id, tier, share, weight, target, tokensPerSecond }: Class,
  attainment: Attainment,
  now: number,
): Omit<ClassReport, 'waiting' | 'open'> {
  const figures = attainment.figures(id, now);
  return {
    id,
    tier,
    share,
    weight,
    target,
    tokensPerSecondLimit: tokensPerSecond ?? null,
    tokensPerSecond: (figures.processedTokens * MS_PER_SECOND) / ATTAINMENT_WINDOW_MS,
    requests: figures.requests,
    attainment: figures.attainment,
    goodput: figures.goodput,
    waste: figures.waste,
    shed: figures.shed,
    failed: figures.failed,
    abandoned: figures.abandoned,
    firstTokenMs: figures.firstTokenMs,
    betweenTokensMs: figures.betweenTokensMs,
    wholeMs: figures.wholeMs,
  };
}

/** Lists the classes of the table with their current figures on this VM. */
export function dumpClasses(core: Core, attainment: Attainment, now: number): ClassReport[] {
  const waiting = countWaiting(core);
  const open = attainment.countOpen();
  return [...(core.table.view?.classes.values() ?? [])].map((row) => ({
    ...describeClass(row, attainment, now),
    waiting: waiting.get(row.id) ?? 0,
    open: open.get(row.id) ?? 0,
  }));
}
