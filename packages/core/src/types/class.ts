import * as z from 'zod';

import { tiers } from './tier.js';

/** Shape of a latency target, in milliseconds. */
export const latencyTargetSchema = z.strictObject({
  firstTokenMs: z.number().positive().describe('From arrival to the first token.'),
  betweenTokensMs: z.number().positive().describe('Mean gap between later tokens.'),
  wholeMs: z.number().positive().describe('From arrival to the last token; the answer window.'),
});

/** A class's latency target, in milliseconds. */
export type LatencyTarget = z.infer<typeof latencyTargetSchema>;

/** Shape of one row of the classes sheet. */
export const classSchema = z.strictObject({
  id: z.string().min(1).max(64).describe('Name of the class; callers send it.'),
  tier: z.enum(tiers).describe('Priority tier; a higher tier is served first.'),
  target: latencyTargetSchema.describe('Latency target of the class.'),
  share: z.number().min(0).max(1).describe('Guaranteed minimum share of a pool under demand.'),
  weight: z.number().positive().default(1).describe('Weight among classes of the same tier.'),
  tokensPerSecond: z.number().positive().optional().describe('Limit of the class, fleet-wide.'),
  repeatable: z.boolean().default(true).describe('False: a request runs at most once.'),
  preemptible: z.boolean().default(false).describe('True: its streams may be paused and resumed.'),
  maxQueue: z.number().int().positive().default(2000).describe('Most requests waiting on one VM.'),
});

/** A class of requests, with its tier, target and share, as the table publishes it. */
export type Class = z.infer<typeof classSchema>;
