import * as z from 'zod';

const fencingPart = z.number().int().nonnegative();

/** Schema of the orders that engines accept. */
export const orderSchema = z.strictObject({
  endpointId: z.string(),
  fencing: z.tuple([fencingPart, fencingPart, fencingPart]),
  models: z.array(z.string()),
  adapters: z.array(z.string()),
  role: z.enum(['mixed', 'prefill', 'decode']),
});
