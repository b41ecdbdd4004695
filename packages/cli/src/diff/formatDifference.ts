import type { Change, Effect } from './change.js';
import type { Difference } from './diffTables.js';

const titles: readonly (readonly [Effect, string])[] = [
  ['gains', 'Gains'],
  ['loses', 'Loses'],
  ['neither', 'Other changes'],
];

function formatGroup(title: string, changes: readonly Change[]): string[] {
  if (changes.length === 0) return [];
  return [title, ...changes.map(({ subject, text }) => `  ${subject}: ${text}`)];
}

/** Formats a difference as text, grouped by effect. */
export function formatDifference({ from, to, changes, warnings }: Difference): string {
  const groups = titles.flatMap(([effect, title]) =>
    formatGroup(
      title,
      changes.filter((change) => change.effect === effect),
    ),
  );
  const body = groups.length === 0 ? ['Nothing changes.'] : groups;
  const tail = warnings.length === 0 ? [] : ['Warnings', ...warnings.map((line) => `  ${line}`)];
  return [`Revision ${from} to ${to}`, ...body, ...tail].join('\n');
}
