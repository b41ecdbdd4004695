import { z } from 'zod';

const lengthSchema = z.strictObject({
  median: z.number().positive(),
  /** Standard deviation of the logarithm. */
  spread: z.number().nonnegative().default(0.6),
});

/** Shape of one stream of requests in a scenario. */
export const loadSchema = z.strictObject({
  class: z.string(),
  account: z.string(),
  target: z.string().describe('A model, or `service:NAME /path`.'),
  method: z.string().default('POST'),
  ratePerSecond: z.number().positive(),
  promptTokens: lengthSchema.default({ median: 100, spread: 0.5 }),
  outputTokens: lengthSchema.default({ median: 40, spread: 0.6 }),
  streamed: z.boolean().default(true),
});

/** Shape of a scenario file. */
export const scenarioSchema = z.strictObject({
  name: z.string(),
  routers: z.number().int().positive(),
  zones: z.array(z.string()).min(1),
  region: z.string(),
  seconds: z.number().positive().max(45),
  engines: z.array(
    z.strictObject({
      model: z.string(),
      count: z.number().int().positive(),
      slots: z.number().int().positive(),
      stepMs: z.number().positive(),
      prefillTokensPerSecond: z.number().positive(),
    }),
  ),
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
});

/** A scenario: a fleet, a table and a load. */
export type Scenario = z.infer<typeof scenarioSchema>;

/** One stream of requests in a scenario. */
export type Load = z.infer<typeof loadSchema>;
