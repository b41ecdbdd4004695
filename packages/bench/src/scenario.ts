import * as z from 'zod';

import { targetSchema } from './targets.js';

const lengthSchema = z.strictObject({
  median: z.number().positive(),
  /** Standard deviation of the logarithm. */
  spread: z.number().nonnegative().default(0.6),
  most: z.number().positive().default(100_000),
});

const phaseSchema = z.strictObject({
  fromSecond: z.number().nonnegative(),
  /** Multiplies the load's rate from that second on. */
  factor: z.number().nonnegative(),
});

/** Shape of one stream of requests in a scenario. */
export const loadSchema = z.strictObject({
  class: z.string(),
  account: z.string(),
  key: z.string().optional().describe('API key of the account; absent: the one of the bench.'),
  target: z.string().describe('A model, or `service:NAME /path`.'),
  method: z.string().default('POST'),
  ratePerSecond: z.number().positive(),
  phases: z.array(phaseSchema).default([]),
  promptTokens: lengthSchema.prefault({ median: 100, spread: 0.5 }),
  outputTokens: lengthSchema.prefault({ median: 40, spread: 0.6 }),
  streamed: z.boolean().default(true),
  keyed: z.boolean().default(false).describe('Sends an Idempotency-Key with each request.'),
});

/** Shape of a change made while a scenario runs. */
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
    /** The published list names it so much longer. */
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
  /** Whether the engines of the scenario are managed; absent: as their group says. */
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
  warmupSeconds: z.number().nonnegative().default(0).describe('Left out of rates and limits.'),
  entryWeights: z.array(z.number().nonnegative()).optional(),
  engines: z.array(
    z.strictObject({
      model: z.string(),
      count: z.number().int().positive(),
      slots: z.number().int().positive(),
      stepMs: z.number().positive(),
      prefillTokensPerSecond: z.number().positive(),
      managed: z.boolean().default(false).describe('The routers order what it loads.'),
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
  /** Runs of the same scenario that differ in a few settings; none: one run as it stands. */
  variants: z.array(variantSchema).default([]),
  targets: z.array(targetSchema).default([]),
});

/** A scenario: a fleet, a table and a load. */
export type Scenario = z.infer<typeof scenarioSchema>;

/** One stream of requests in a scenario. */
export type Load = z.infer<typeof loadSchema>;

/** A change made while a scenario runs. */
export type Fault = z.infer<typeof faultSchema>;

/** One of several runs of a scenario. */
export type Variant = z.infer<typeof variantSchema>;

/** Returns the scenario of one variant. */
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
