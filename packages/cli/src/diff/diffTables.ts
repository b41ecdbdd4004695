import type { Table } from '@filbertlatch/core';

import type { Change } from './change.js';
import { diffClasses } from './diffClasses.js';
import { diffLimits, diffPools, diffRows } from './diffRows.js';
import type { Use } from './sumUse.js';

/** What an edit of the table changes. */
export interface Difference {
  readonly from: number;
  readonly to: number;
  readonly changes: readonly Change[];
  /** What the operator should look at before publishing. */
  readonly warnings: readonly string[];
}

function listCaps(table: Table): { name: string; classId: string; tokensPerSecond: number }[] {
  const own = table.classes.flatMap(({ id, tokensPerSecond }) =>
    tokensPerSecond === undefined ? [] : [{ name: `class ${id}`, classId: id, tokensPerSecond }],
  );
  const limits = table.limits.flatMap(({ id, class: classId, account, tokensPerSecond }) =>
    classId === undefined || account !== undefined
      ? []
      : [{ name: `limit ${id}`, classId, tokensPerSecond }],
  );
  return [...own, ...limits];
}

function findTightLimits(after: Table, use: Use): string[] {
  return listCaps(after).flatMap(({ name, classId, tokensPerSecond }) => {
    const used = use?.get(classId) ?? 0;
    if (used <= tokensPerSecond) return [];
    const rounded = Math.round(used);
    return [
      `${name} allows ${tokensPerSecond} tokens/s, below the present use of ${rounded} by ${classId}.`,
    ];
  });
}

function findLostWork(before: Table, after: Table, use: Use): string[] {
  const kept = new Set(after.classes.map((row) => row.id));
  return before.classes
    .filter(({ id }) => !kept.has(id) && (use?.get(id) ?? 0) > 0)
    .map(({ id }) => `class ${id} is removed while it is in use.`);
}

function findRevisionFaults(before: Table, after: Table): string[] {
  if (after.revision > before.revision) return [];
  return [`revision ${after.revision} is not above ${before.revision}: no VM will take it.`];
}

/** Says in words what an edit changes: who gains, who loses, and what to look at. */
export function diffTables(before: Table, after: Table, use: Use): Difference {
  return {
    from: before.revision,
    to: after.revision,
    changes: [
      ...diffClasses(before.classes, after.classes),
      ...diffLimits(before.limits, after.limits),
      ...diffPools(before.endpoints, after.endpoints),
      ...diffRows('accounts', before, after),
      ...diffRows('models', before, after),
      ...diffRows('endpoints', before, after),
    ],
    warnings: [
      ...findRevisionFaults(before, after),
      ...findTightLimits(after, use),
      ...findLostWork(before, after, use),
    ],
  };
}
