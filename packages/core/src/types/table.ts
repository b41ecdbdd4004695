import * as z from 'zod';

import { accountSchema } from './account.js';
import { classSchema } from './class.js';
import { endpointSchema } from './endpoint.js';
import { limitSchema } from './limit.js';
import { modelSchema } from './model.js';

/** Names of the table's sheets; the accounts sheet is published in shards named `accounts/N`. */
export const sheetNames = ['classes', 'accounts', 'models', 'endpoints', 'limits'] as const;

/** Name of a sheet of the table. */
export type SheetName = (typeof sheetNames)[number];

/** Shapes of the sheets, by name. */
export const sheetSchemas = {
  classes: z.array(classSchema),
  accounts: z.array(accountSchema),
  models: z.array(modelSchema),
  endpoints: z.array(endpointSchema),
  limits: z.array(limitSchema),
} as const;

/** Shape of the whole table, as the command line reads and checks it. */
export const tableSchema = z.strictObject({
  revision: z.number().int().nonnegative(),
  ...sheetSchemas,
});

/** The operators' table: classes, accounts, models, endpoints and limits of the fleet. */
export type Table = z.infer<typeof tableSchema>;

/** Shape of the manifest that names the sheets of one revision of the table. */
export const manifestSchema = z.strictObject({
  revision: z.number().int().nonnegative(),
  sheets: z.record(
    z.string().regex(/^(classes|models|endpoints|limits|accounts\/\d+)$/, 'unknown sheet'),
    z.strictObject({ revision: z.number().int().nonnegative(), digest: z.string().min(1) }),
  ),
});

/** The sheets of one revision of the table by name, each with its own revision and digest. */
export type Manifest = z.infer<typeof manifestSchema>;

/** Identifies the content of a sheet: equal positions mean equal content. */
export interface SheetPosition {
  readonly sheet: string;
  readonly revision: number;
  readonly digest: string;
}
