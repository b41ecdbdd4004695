import type { Table } from '@filbertlatch/core';

import type { Change } from './change.js';
import { diffClasses } from './diffClasses.js';
import { diffLimits, diffPools, diffRows } from './diffRows.js';
import type { TokenUse } from './sumTokenUse.js';

/** What changes between two revisions of the table. */
export interface Difference {
  /** Revision of the old table. */
  readonly from: number;
  /** Revision of the new table. */
  readonly to: number;
  readonly changes: readonly Change[];
  /** Likely mistakes that the operator should check before publishing. */
  readonly warnings: readonly string[];
}

/** Lists the limits on a whole class: its own and those of the sheet `limits` without an account. */
function listClassLimits(
  table: Table,
): { name: string; classId: string; tokensPerSecond: number }[] {
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

function findLimitsBelowUse(after: Table, use: TokenUse): string[] {
  return listClassLimits(after).flatMap(({ name, classId, tokensPerSecond }) => {
    const used = use?.get(classId) ?? 0;
    if (used <= tokensPerSecond) return [];
    const rounded = Math.round(used);
    return [
      `${name} allows ${tokensPerSecond} tokens/s, below the present use of ${rounded} by ${classId}.`,
    ];
  });
}

function findRemovedClassesInUse(before: Table, after: Table, use: TokenUse): string[] {
  const kept = new Set(after.classes.map((row) => row.id));
  return before.classes
    .filter(({ id }) => !kept.has(id) && (use?.get(id) ?? 0) > 0)
    .map(({ id }) => `class ${id} is removed while it is in use.`);
}

function findStaleRevision(before: Table, after: Table): string[] {
  if (after.revision > before.revision) return [];
  return [`revision ${after.revision} is not above ${before.revision}: no VM will accept it.`];
}

/** Compares two tables; `use` is for warnings on limits and classes in use. */
export function diffTables(before: Table, after: Table, use: TokenUse): Difference {
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
      ...findStaleRevision(before, after),
      ...findLimitsBelowUse(after, use),
      ...findRemovedClassesInUse(before, after, use),
    ],
  };
}
