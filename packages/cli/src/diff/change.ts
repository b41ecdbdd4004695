/** Whether a change benefits its subject; `neither` when it does neither or cannot be judged. */
export type Effect = 'gains' | 'loses' | 'neither';

/** One change of a table, described for people. */
export interface Change {
  readonly effect: Effect;
  /** Sheet and id, such as `class bulletin`. */
  readonly subject: string;
  /** What changes, as a sentence without the subject. */
  readonly text: string;
}

/** The rows of one id in two tables; `before` is absent if it was added, `after` if removed. */
export interface Pair<T> {
  readonly id: string;
  readonly before: T | undefined;
  readonly after: T | undefined;
}

/** Pairs the rows of two sheets by their ids. */
export function pairRows<T extends { readonly id: string }>(
  before: readonly T[],
  after: readonly T[],
): Pair<T>[] {
  const old = new Map(before.map((row) => [row.id, row]));
  const next = new Map(after.map((row) => [row.id, row]));
  const ids = [...new Set([...old.keys(), ...next.keys()])];
  return ids.map((id) => ({ id, before: old.get(id), after: next.get(id) }));
}

/** Formats a ratio, 0 to 1, as a percentage with at most one decimal. */
export function formatPercent(part: number): string {
  return `${Number((part * 100).toFixed(1))}%`;
}

/** Returns the effect of changing a value of which more is better. */
export function effectOf(before: number, after: number): Effect {
  if (before === after) return 'neither';
  return after > before ? 'gains' : 'loses';
}
