import {
  classSchema,
  limitSchema,
  modelSchema,
  endpointSchema,
  accountSchema,
} from '@filbertlatch/core';
import * as z from 'zod';

const epochMs = z.number().describe('Epoch milliseconds.');
const fraction = z.number().min(0).max(1).nullable();

const percentilesSchema = z.object({
  p50: z.number().nullable(),
  p95: z.number().nullable(),
  p99: z.number().nullable(),
});

const faultSchema = z.object({ path: z.string(), expected: z.string(), found: z.string() });

/** Schema of one class's current figures on one VM. */
export const classFiguresSchema = z.object({
  id: z.string(),
  tier: z.string(),
  share: z.number(),
  weight: z.number(),
  tokensPerSecondLimit: z.number().nullable().describe('Limit of the class, fleet-wide.'),
  target: z.object({
    firstTokenMs: z.number(),
    betweenTokensMs: z.number(),
    wholeMs: z.number(),
  }),
  waiting: z.number().describe('Requests that wait on this VM.'),
  open: z.number().describe('Requests without a final answer on this VM.'),
  tokensPerSecond: z.number().describe('Use on this VM over the last minute.'),
  requests: z.number(),
  attainment: fraction,
  goodput: fraction,
  waste: fraction,
  shed: z.number(),
  failed: z.number(),
  abandoned: z.number(),
  firstTokenMs: percentilesSchema,
  betweenTokensMs: percentilesSchema,
  wholeMs: percentilesSchema,
});

/** Schema of all classes' current figures on one VM. */
export const classesSchema = z.object({
  vm: z.string(),
  tableRevision: z.number(),
  windowMs: z.number(),
  classes: z.array(classFiguresSchema),
});

/** Schema of the dump of one VM's state. */
export const stateSchema = z.object({
  vm: z.string(),
  incarnation: epochMs,
  leaving: z.boolean(),
  table: z.object({
    revision: z.number(),
    ageMs: z.number().nullable(),
    refused: z.object({ revision: z.number(), faults: z.array(z.string()) }).nullable(),
  }),
  list: z.object({
    revision: z.number(),
    ageMs: z.number().nullable(),
    vms: z.array(z.object({ id: z.string(), zone: z.string(), state: z.string() })),
  }),
  queues: z.array(z.object({ pool: z.string(), classId: z.string(), waiting: z.number() })),
  endpoints: z.array(
    z.object({ id: z.string(), kind: z.string(), slots: z.number(), inFlight: z.number() }),
  ),
  classes: z.array(classFiguresSchema),
  openRequests: z.number(),
  counters: z.record(z.string(), z.number()),
});

/** Schema of the table in force; accounts are read page by page. */
export const tableSchema = z.object({
  vm: z.string(),
  revision: z.number(),
  ageMs: z.number().nullable(),
  refused: stateSchema.shape.table.shape.refused,
  classes: z.array(classSchema),
  models: z.array(modelSchema),
  endpoints: z.array(endpointSchema),
  limits: z.array(limitSchema),
  accountCount: z.number(),
});

/** Schema of a page of accounts, without the digests of their keys. */
export const accountsSchema = z.object({
  total: z.number(),
  offset: z.number(),
  accounts: z.array(accountSchema.omit({ keyDigest: true })),
});

/** Schema of the endpoints as one VM sees them. */
export const endpointsSchema = z.object({
  vm: z.string(),
  endpoints: z.array(
    z.object({
      id: z.string(),
      kind: z.enum(['engine', 'service']),
      pools: z.array(z.string()),
      zone: z.string(),
      region: z.string(),
      state: z.enum(['live', 'leaving']),
      slots: z.number(),
      inFlight: z.number().describe('Attempts of this VM.'),
      isEjected: z.boolean(),
    }),
  ),
});

/** Schema of the fleet as one VM sees it. */
export const membersSchema = z.object({
  vm: z.string(),
  listRevision: z.number(),
  members: z.array(
    z.object({
      id: z.string(),
      zone: z.string(),
      region: z.string(),
      state: z.enum(['live', 'leaving']).describe('As published.'),
      told: z.string().nullable().describe('What it last told of itself.'),
      heardAgoMs: z.number().nullable(),
      listRevision: z.number().nullable(),
      tableRevision: z.number().nullable(),
    }),
  ),
});

/** Schema of the decisions about one request. */
export const requestSchema = z.object({
  requestId: z.string(),
  accountId: z.string(),
  classId: z.string(),
  pool: z.string(),
  arrivedAt: epochMs,
  deadline: epochMs,
  promptTokens: z.number(),
  steps: z.array(z.looseObject({ kind: z.string(), at: epochMs })),
  explanation: z.array(z.string()).describe('The steps in words.'),
});

/** Schema of the result of a table check. */
export const checkSchema = z.object({ ok: z.boolean(), faults: z.array(faultSchema) });

/** Schema of the answer to a drain command. */
export const drainSchema = z.object({ draining: z.literal(true) });

/** Schema of an error answer of this API. */
export const errorSchema = z.object({ error: z.string() });

/** Dump of one VM's state. */
export type State = z.infer<typeof stateSchema>;

/** One class's current figures on one VM. */
export type ClassReport = z.infer<typeof classFiguresSchema>;
