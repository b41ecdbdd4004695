import type { Action, RefusalCode, Verdict } from '@filbertlatch/core';

/** How many requests were refused with one code and verdict. */
export interface RefusalCount {
  readonly code: RefusalCode;
  readonly verdict: Verdict;
  readonly count: number;
}

/** The task that counts refusals by code and verdict: whether the request may have run. */
export class RefusalCounts {
  readonly #counts = new Map<string, RefusalCount>();

  /** Takes in the actions of one message. */
  watch(actions: readonly Action[]): void {
    for (const action of actions) {
      if (action.kind !== 'refuse') continue;
      const { code, verdict } = action.refusal;
      const key = `${code} ${verdict}`;
      const count = (this.#counts.get(key)?.count ?? 0) + 1;
      this.#counts.set(key, { code, verdict, count });
    }
  }

  /** Lists the counts since start. */
  list(): RefusalCount[] {
    return [...this.#counts.values()];
  }
}
