import * as z from 'zod';

/** Shape of one row of the models sheet. */
export const modelSchema = z.strictObject({
  id: z.string().min(1).max(128).describe('Name that callers send.'),
  version: z.string().min(1).default('1').describe('Version to load.'),
  adapters: z.array(z.string().min(1)).default([]).describe('Adapters to load with it.'),
  minReplicas: z.number().int().min(0).default(1).describe('Fewest engines that keep it loaded.'),
  maxReplicas: z.number().int().min(0).default(1000).describe('Most engines that may load it.'),
  weightBytes: z.number().int().nonnegative().default(0).describe('Size to load, in bytes.'),
});

/** A model that callers may name. */
export type Model = z.infer<typeof modelSchema>;
