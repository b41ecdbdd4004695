import * as z from 'zod';

/** Shape of one row of the accounts sheet. */
export const accountSchema = z.strictObject({
  id: z.string().min(1).max(64).describe('Name of the account.'),
  keyDigest: z
    .string()
    .regex(/^[0-9a-f]{64}$/, 'expected a SHA-256 digest in lower-case hexadecimal')
    .describe('SHA-256 of the API key; the key itself is never published.'),
  homeRegion: z.string().min(1).describe('Region whose VMs witness its keys.'),
  defaultClass: z.string().min(1).describe('Class of a request that names none.'),
  classes: z.array(z.string().min(1)).optional().describe('Classes it may use; absent: all.'),
  weight: z.number().positive().default(1).describe('Weight among accounts of one class.'),
});

/** A client account, as the table publishes it. */
export type Account = z.infer<typeof accountSchema>;
