import * as z from 'zod';

import { targetSchema } from './targets.js';

const lengthSchema = z.strictObject({
  median: z.number().positive(),
  /** Standard deviation of the natural logarithm of the length. */
  spread: z.number().nonnegative().default(0.6),
  most: z.number().positive().default(100_000),
});

const phaseSchema = z.strictObject({
  fromSecond: z.number().nonnegative(),
  /** Multiplies the load's rate from that second on. */
  factor: z.number().nonnegative(),
});

/** Shape of a load: requests of one class, from one account, to one target. */
export const loadSchema = z.strictObject({
  class: z.string(),
  account: z.string(),
  key: z
    .string()
    .optional()
    .describe('API key of the account; absent: the one that the bench gives the account.'),
  target: z.string().describe('A model, or `service:NAME /path`.'),
  method: z.string().default('POST'),
  ratePerSecond: z.number().positive(),
  phases: z.array(phaseSchema).default([]),
  promptTokens: lengthSchema.prefault({ median: 100, spread: 0.5 }),
  outputTokens: lengthSchema.prefault({ median: 40, spread: 0.6 }),
  streamed: z.boolean().default(true),
  keyed: z.boolean().default(false).describe('Sends an Idempotency-Key with each request.'),
});

/** Shape of a fault: engine switches set, or a VM stopped, while a scenario runs. */
export const faultSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('engine'),
    atSecond: z.number().nonnegative(),
    engine: z.string(),
    switches: z.record(z.string(), z.union([z.number(), z.boolean(), z.null()])),
  }),
  z.strictObject({
    kind: z.literal('vm-lost'),
    atSecond: z.number().nonnegative(),
    vm: z.string(),
    /** Time for which the published list still names the lost VM. */
    listedSeconds: z.number().nonnegative().default(2),
  }),
]);

const variantSchema = z.strictObject({
  name: z.string().regex(/^[a-z0-9-]+$/),
  /** Multiplies every load's rate. */
  loadFactor: z.number().positive().default(1),
  /** Phases that replace those of the loads of a class. */
  phases: z.record(z.string(), z.array(phaseSchema)).default({}),
  entryWeights: z.array(z.number().nonnegative()).optional(),
  faults: z.array(faultSchema).default([]),
  /** Whether all engines are managed; absent: as their group says. */
  managed: z.boolean().optional(),
});

/** Shape of a scenario file. */
export const scenarioSchema = z.strictObject({
  name: z.string(),
  summary: z.string().default(''),
  routers: z.number().int().positive(),
  zones: z.array(z.string()).min(1),
  region: z.string(),
  seconds: z.number().positive().max(45),
  warmupSeconds: z
    .number()
    .nonnegative()
    .default(0)
    .describe('Seconds at the start that rates and limits leave out.'),
  entryWeights: z.array(z.number().nonnegative()).optional(),
  engines: z.array(
    z.strictObject({
      model: z.string(),
      count: z.number().int().positive(),
      slots: z.number().int().positive(),
      stepMs: z.number().positive(),
      prefillTokensPerSecond: z.number().positive(),
      managed: z
        .boolean()
        .default(false)
        .describe('Whether the routers order which models it loads.'),
    }),
  ),
  weights: z
    .strictObject({
      bytesPerModel: z.number().nonnegative(),
      bytesPerSecond: z.number().positive(),
    })
    .prefault({ bytesPerModel: 0, bytesPerSecond: 1e9 }),
  services: z
    .array(
      z.strictObject({
        name: z.string(),
        count: z.number().int().positive(),
        slots: z.number().int().positive(),
        answerMs: z.number().nonnegative(),
      }),
    )
    .default([]),
  classes: z.array(z.unknown()),
  accounts: z.array(z.string()).min(1),
  limits: z.array(z.unknown()).default([]),
  loads: z.array(loadSchema).min(1),
  faults: z.array(faultSchema).default([]),
  /** Variants of the scenario, run one after the other; with none, it is run once unchanged. */
  variants: z.array(variantSchema).default([]),
  targets: z.array(targetSchema).default([]),
});

/** A fleet, a table, loads, faults and targets of the figures. */
export type Scenario = z.infer<typeof scenarioSchema>;

/** Requests of one class, from one account, to one target. */
export type Load = z.infer<typeof loadSchema>;

/** Engine switches set, or a VM stopped, while a scenario runs. */
export type Fault = z.infer<typeof faultSchema>;

/** Changes to a scenario for one of its runs. */
export type Variant = z.infer<typeof variantSchema>;

/** Returns a scenario with the changes of a variant. */
export function applyVariant(scenario: Scenario, variant: Variant): Scenario {
  return {
    ...scenario,
    entryWeights: variant.entryWeights ?? scenario.entryWeights,
    faults: [...scenario.faults, ...variant.faults],
    engines: scenario.engines.map((group) => ({
      ...group,
      managed: variant.managed ?? group.managed,
    })),
    loads: scenario.loads.map((load) => ({
      ...load,
      ratePerSecond: load.ratePerSecond * variant.loadFactor,
      phases: variant.phases[load.class] ?? load.phases,
    })),
  };
}
