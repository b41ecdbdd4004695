import { z } from 'zod';

/** Shape of one row of the models sheet. */
export const modelSchema = z.strictObject({
  id: z.string().min(1).max(128),
  version: z.string().min(1).default('1'),
  adapters: z.array(z.string().min(1)).default([]),
  minReplicas: z.number().int().min(0).default(1),
  maxReplicas: z.number().int().min(0).default(1000),
  weightBytes: z.number().int().nonnegative().default(0).describe('Size to load, in bytes.'),
});

/** A model that callers may name. */
export type Model = z.infer<typeof modelSchema>;
