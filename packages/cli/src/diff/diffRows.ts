import { isDeepStrictEqual } from 'node:util';

import { listPoolIds, type Endpoint, type Limit, type Table } from '@filbertlatch/core';

import { effectOf, pairRows, type Change } from './change.js';

/** Most ids that one line lists; the others are counted. */
const MAX_LISTED_IDS = 10;

function describeLimit({ class: classId, account }: Limit): string {
  const parts = [classId && `class ${classId}`, account && `account ${account}`];
  return parts.filter((part) => part !== undefined).join(' and ');
}

/** Describes what changes for each limit. */
export function diffLimits(before: readonly Limit[], after: readonly Limit[]): Change[] {
  return pairRows(before, after).flatMap((pair): Change[] => {
    const row = pair.after ?? pair.before!;
    const subject = `limit ${pair.id} on ${describeLimit(row)}`;
    if (pair.after === undefined) return [{ effect: 'gains', subject, text: 'is removed' }];
    const next = pair.after.tokensPerSecond;
    if (pair.before === undefined) {
      return [{ effect: 'loses', subject, text: `is added at ${next} tokens/s` }];
    }
    const old = pair.before.tokensPerSecond;
    if (old !== next) {
      const text = `goes from ${old} to ${next} tokens/s`;
      return [{ effect: effectOf(old, next), subject, text }];
    }
    const isSame = isDeepStrictEqual(pair.before, pair.after);
    return isSame
      ? []
      : [{ effect: 'neither', subject, text: 'changes its burst, floor, class or account' }];
  });
}

/** Sums the slots of live endpoints by pool; an endpoint counts in each of its pools. */
function sumSlotsByPool(endpoints: readonly Endpoint[]): Map<string, number> {
  const slots = new Map<string, number>();
  endpoints
    .filter((endpoint) => endpoint.state === 'live')
    .forEach((endpoint) => {
      listPoolIds(endpoint).forEach((pool) =>
        slots.set(pool, (slots.get(pool) ?? 0) + endpoint.slots),
      );
    });
  return slots;
}

/** Describes how the slots of each pool change. */
export function diffPools(before: readonly Endpoint[], after: readonly Endpoint[]): Change[] {
  const [old, next] = [sumSlotsByPool(before), sumSlotsByPool(after)];
  return [...new Set([...old.keys(), ...next.keys()])].flatMap((pool): Change[] => {
    const [from, to] = [old.get(pool) ?? 0, next.get(pool) ?? 0];
    if (from === to) return [];
    const text = `slots go from ${from} to ${to}`;
    return [{ effect: effectOf(from, to), subject: `pool ${pool}`, text }];
  });
}

function formatIds(ids: readonly string[]): string {
  const named = ids.slice(0, MAX_LISTED_IDS).join(', ');
  return ids.length > MAX_LISTED_IDS ? `${named} and ${ids.length - MAX_LISTED_IDS} more` : named;
}

/** Describes which rows of a sheet were added, removed or changed, one line for each of these. */
export function diffRows(
  sheet: 'accounts' | 'models' | 'endpoints',
  old: Table,
  next: Table,
): Change[] {
  const pairs = pairRows<{ readonly id: string }>(old[sheet], next[sheet]);
  const groups: readonly (readonly [Change['effect'], string, typeof pairs])[] = [
    ['gains', 'added', pairs.filter(({ before }) => before === undefined)],
    ['loses', 'removed', pairs.filter(({ after }) => after === undefined)],
    [
      'neither',
      'changed',
      pairs.filter(
        ({ before, after }) =>
          before !== undefined && after !== undefined && !isDeepStrictEqual(before, after),
      ),
    ],
  ];
  return groups
    .filter(([, , rows]) => rows.length > 0)
    .map(([effect, how, rows]) => {
      const text = `${rows.length} ${how}: ${formatIds(rows.map((row) => row.id))}`;
      return { effect, subject: sheet, text };
    });
}
