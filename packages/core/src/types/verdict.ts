/**
 * Whether a request has run: `not-run` only when that is certain, `may-have-run` when it is not
 * known, `ran` when an endpoint began to compute it.
 */
export type Verdict = 'not-run' | 'may-have-run' | 'ran';

const ascendingVerdicts: readonly Verdict[] = ['not-run', 'may-have-run', 'ran'];

/** Combines the verdicts of two attempts of a request: the one nearer to `ran`. */
export function worstVerdict(left: Verdict, right: Verdict): Verdict {
  return ascendingVerdicts.indexOf(left) >= ascendingVerdicts.indexOf(right) ? left : right;
}
