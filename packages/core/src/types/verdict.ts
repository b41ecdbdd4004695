/**
 * Says whether a request may have run: `not-run` is said only when it is certain,
 * `may-have-run` when it is not known, `ran` when an endpoint began to compute it.
 */
export type Verdict = 'not-run' | 'may-have-run' | 'ran';

const order: readonly Verdict[] = ['not-run', 'may-have-run', 'ran'];

/** Returns the verdict over several attempts: one that ran outweighs all that did not. */
export function worstVerdict(left: Verdict, right: Verdict): Verdict {
  return order.indexOf(left) >= order.indexOf(right) ? left : right;
}
