import * as z from 'zod';

/** Shape of a target: a bound on a figure, fixed or taken from other figures of the run. */
export const targetSchema = z.strictObject({
  figure: z.string(),
  bound: z.enum(['at-least', 'at-most']),
  /** The fixed bound; left out where a reference gives it. */
  value: z.number().optional(),
  /**
   * Figures of which the highest, times `factor` plus `plus`, is the bound; `best-baseline` stands
   * for the same figure of each baseline.
   */
  reference: z.union([z.literal('best-baseline'), z.array(z.string()).min(1)]).optional(),
  factor: z.number().default(1),
  plus: z.number().default(0),
});

/** A bound on a figure. */
export type Target = z.infer<typeof targetSchema>;

/** Figures of a run by name; a name ends in its unit unless the figure is a fraction or a count. */
export type Figures = Readonly<Record<string, number>>;

/** A target and the measured figure; null where the run did not give the value. */
export interface TargetResult {
  readonly figure: string;
  readonly bound: Target['bound'];
  /** Value of the bound. */
  readonly wanted: number | null;
  readonly measured: number | null;
  readonly met: boolean | null;
}

function listReferences(target: Target, baselines: readonly string[]): string[] {
  if (target.reference === undefined) return [];
  if (target.reference !== 'best-baseline') return target.reference;
  return baselines.map((name) => `${name}.${target.figure}`);
}

function computeBound(
  target: Target,
  figures: Figures,
  baselines: readonly string[],
): number | null {
  if (target.value !== undefined) return target.value;
  const values = listReferences(target, baselines).map((name) => figures[name]);
  if (values.length === 0 || values.includes(undefined)) return null;
  return Math.max(...(values as number[])) * target.factor + target.plus;
}

/** Compares the figures of a run with its targets. */
export function checkTargets(
  targets: readonly Target[],
  figures: Figures,
  baselines: readonly string[],
): TargetResult[] {
  return targets.map((target) => {
    const wanted = computeBound(target, figures, baselines);
    const measured = figures[target.figure] ?? null;
    const { figure, bound } = target;
    if (wanted === null || measured === null) return { figure, bound, wanted, measured, met: null };
    const met = bound === 'at-least' ? measured >= wanted : measured <= wanted;
    return { figure, bound, wanted, measured, met };
  });
}

/** Returns target results as figures: the bound as `target.NAME`, and `met.NAME` as 1 or 0. */
export function targetFigures(results: readonly TargetResult[]): Figures {
  const entries = results.flatMap(({ figure, wanted, met }): [string, number][] => [
    ...(wanted === null ? [] : [[`target.${figure}`, wanted] as [string, number]]),
    ...(met === null ? [] : [[`met.${figure}`, Number(met)] as [string, number]]),
  ]);
  return Object.fromEntries(entries);
}
