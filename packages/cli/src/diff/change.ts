/** Who is better off by a change; `neither` where that cannot be said. */
export type Effect = 'gains' | 'loses' | 'neither';

/** One change in words. */
export interface Change {
  readonly effect: Effect;
  /** Sheet and id, such as `class bulletin`. */
  readonly subject: string;
  readonly text: string;
}

/** Rows of two tables under the same id; one is absent when it was added or removed. */
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

/** Formats a part of one as a percentage. */
export function percent(part: number): string {
  return `${Number((part * 100).toFixed(1))}%`;
}

/** Says who is better off when more is better. */
export function effectOf(before: number, after: number): Effect {
  if (before === after) return 'neither';
  return after > before ? 'gains' : 'loses';
}
