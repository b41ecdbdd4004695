import * as z from 'zod';

const revision = z.number().int().nonnegative();

/** Shape of an order, as engines take it. */
export const orderSchema = z.strictObject({
  endpointId: z.string(),
  fencing: z.tuple([revision, revision, revision]),
  models: z.array(z.string()),
  adapters: z.array(z.string()),
  role: z.enum(['mixed', 'prefill', 'decode']),
});
