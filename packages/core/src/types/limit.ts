import * as z from 'zod';

/** Shape of one row of the limits sheet. */
export const limitSchema = z.strictObject({
  id: z.string().min(1).max(64).describe('Name of the limit.'),
  class: z.string().min(1).optional().describe('Class it is on; absent: all.'),
  account: z.string().min(1).optional().describe('Account it is on; absent: all.'),
  tokensPerSecond: z.number().positive().describe('Fleet-wide rate of prompt and output tokens.'),
  burstSeconds: z
    .number()
    .positive()
    .max(60)
    .default(1)
    .describe('Seconds of unused rate that may be saved up.'),
  floor: z.number().min(0).max(1).default(0.3).describe('Part divided among VMs without leases.'),
});

/** A fleet-wide limit on a class, an account, or an account within a class. */
export type Limit = z.infer<typeof limitSchema>;
