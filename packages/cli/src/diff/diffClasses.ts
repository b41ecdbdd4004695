import { tierRank, type Class, type LatencyTarget } from '@filbertlatch/core';

import { effectOf, pairRows, formatPercent, type Change, type Effect } from './change.js';

/** Returns the row’s ratio of the sum of weights in its tier. */
function weightRatioInTier(row: Class, rows: readonly Class[]): number {
  const sum = rows
    .filter((other) => other.tier === row.tier)
    .reduce((total, other) => total + other.weight, 0);
  return row.weight / sum;
}

function diffTier(before: Class, after: Class): Omit<Change, 'subject'>[] {
  if (before.tier === after.tier) return [];
  const isHigher = tierRank(after.tier) < tierRank(before.tier);
  const text = `moves from tier ${before.tier} to ${after.tier}: it is served ${
    isHigher ? 'before' : 'after'
  } more of the other classes`;
  return [{ effect: isHigher ? 'gains' : 'loses', text }];
}

function diffTarget(before: LatencyTarget, after: LatencyTarget): Omit<Change, 'subject'>[] {
  const names = ['firstTokenMs', 'betweenTokensMs', 'wholeMs'] as const;
  return names
    .filter((name) => before[name] !== after[name])
    .map((name) => {
      const isTighter = after[name] < before[name];
      const how = isTighter ? 'tightened' : 'loosened';
      const text = `target ${name} is ${how} from ${before[name]} to ${after[name]}`;
      return { effect: 'neither', text };
    });
}

function diffLimit(before: Class, after: Class): Omit<Change, 'subject'>[] {
  const [old, next] = [before.tokensPerSecond, after.tokensPerSecond];
  if (old === next) return [];
  const describe = (limit: number | undefined) =>
    limit === undefined ? 'none' : `${limit} tokens/s`;
  const effect = effectOf(old ?? Infinity, next ?? Infinity);
  return [{ effect, text: `limit goes from ${describe(old)} to ${describe(next)}` }];
}

function diffFlags(before: Class, after: Class): Omit<Change, 'subject'>[] {
  const changes: Omit<Change, 'subject'>[] = [];
  if (before.repeatable !== after.repeatable) {
    const text = after.repeatable
      ? 'its requests may now run more than once'
      : 'its requests now run at most once';
    changes.push({ effect: 'neither', text });
  }
  if (before.preemptible !== after.preemptible) {
    const effect: Effect = after.preemptible ? 'loses' : 'gains';
    const text = `its streams may ${after.preemptible ? 'now' : 'no longer'} be paused for others`;
    changes.push({ effect, text });
  }
  if (before.maxQueue !== after.maxQueue) {
    const text = `longest queue on a VM goes from ${before.maxQueue} to ${after.maxQueue}`;
    changes.push({ effect: effectOf(before.maxQueue, after.maxQueue), text });
  }
  return changes;
}

function diffShares(
  before: Class,
  after: Class,
  oldRows: readonly Class[],
  newRows: readonly Class[],
): Omit<Change, 'subject'>[] {
  const changes: Omit<Change, 'subject'>[] = [];
  if (before.share !== after.share) {
    const text = `guaranteed share goes from ${formatPercent(before.share)} to ${formatPercent(after.share)}`;
    changes.push({ effect: effectOf(before.share, after.share), text });
  }
  const [old, next] = [weightRatioInTier(before, oldRows), weightRatioInTier(after, newRows)];
  // Weights are relative within a tier, so a class can lose when only another class was edited.
  if (before.tier === after.tier && formatPercent(old) !== formatPercent(next)) {
    const text = `part of tier ${after.tier} by weight goes from ${formatPercent(old)} to ${formatPercent(next)}`;
    changes.push({ effect: effectOf(old, next), text });
  }
  return changes;
}

/** Describes what changes for each class. */
export function diffClasses(oldRows: readonly Class[], newRows: readonly Class[]): Change[] {
  return pairRows(oldRows, newRows).flatMap(({ id, before, after }): Change[] => {
    const subject = `class ${id}`;
    if (after === undefined) return [{ effect: 'loses', subject, text: 'is removed' }];
    if (before === undefined) {
      const text = `is added in tier ${after.tier} with a guaranteed share of ${formatPercent(after.share)}`;
      return [{ effect: 'gains', subject, text }];
    }
    return [
      ...diffTier(before, after),
      ...diffShares(before, after, oldRows, newRows),
      ...diffTarget(before.target, after.target),
      ...diffLimit(before, after),
      ...diffFlags(before, after),
    ].map((change) => ({ ...change, subject }));
  });
}
