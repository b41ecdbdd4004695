import type { Action, RefusalCode, Verdict } from '@filbertlatch/core';

/** Number of requests refused with one code and verdict (whether the request may have run). */
export interface RefusalCount {
  readonly code: RefusalCode;
  readonly verdict: Verdict;
  readonly count: number;
}

/** Counts refusals by code and verdict. */
export class RefusalCounts {
  readonly #counts = new Map<string, RefusalCount>();

  /** Counts the refusals among the actions of one message. */
  watch(actions: readonly Action[]): void {
    for (const action of actions) {
      if (action.kind !== 'refuse') continue;
      const { code, verdict } = action.refusal;
      const key = `${code} ${verdict}`;
      const count = (this.#counts.get(key)?.count ?? 0) + 1;
      this.#counts.set(key, { code, verdict, count });
    }
  }

  /** Lists the counts since the process started. */
  list(): RefusalCount[] {
    return [...this.#counts.values()];
  }
}
