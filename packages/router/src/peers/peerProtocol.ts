import * as z from 'zod';

const id = z.string().min(1).max(256);
const longId = z.string().min(1).max(512);

const claimSchema = z.strictObject({
  method: z.literal('claim'),
  key: longId,
  fingerprint: id,
  attemptId: id,
  claimant: id,
  endpointId: id,
  streamId: id,
  issuedAt: z.number().nullable(),
  listRevision: z.number().int(),
  region: id,
});

const heartbeatSchema = z.strictObject({
  from: id,
  peerUrl: z.url({ protocol: /^https?$/ }).optional(),
  incarnation: z.number(),
  sequence: z.number().int(),
  state: z.enum(['starting', 'live', 'leaving']),
  listRevision: z.number().int(),
  tableRevision: z.number().int(),
  manifestDigest: z.string(),
  positions: z.array(z.strictObject({ sheet: id, revision: z.number().int(), digest: z.string() })),
  loads: z.array(
    z.strictObject({
      classId: id,
      pool: id,
      waiting: z.number(),
      waitingTokens: z.number(),
      servedTokensPerSecond: z.number(),
      offeredTokensPerSecond: z.number().default(0),
    }),
  ),
  suspects: z.array(
    z.strictObject({
      fingerprint: id,
      endpointId: id,
      at: z.number(),
      startedAt: z.number(),
      isAlone: z.boolean(),
    }),
  ),
  members: z.array(
    z.strictObject({
      id,
      incarnation: z.number(),
      state: z.enum(['starting', 'live', 'leaving', 'unreachable']),
      heardAt: z.number(),
    }),
  ),
});

/** Schema of every call between VMs, by method. */
export const peerCallSchema = z.discriminatedUnion('method', [
  claimSchema,
  z.strictObject({ method: z.literal('release'), key: longId, attemptId: id }),
  z.strictObject({ method: z.literal('answer'), key: longId, fingerprint: id }),
  z.strictObject({
    method: z.literal('lists'),
    from: id,
    revisions: z.array(z.number().int()).max(1024),
  }),
  z.strictObject({ method: z.literal('sheet'), sheet: id, digest: z.string().nullable() }),
  z.strictObject({
    method: z.literal('lease'),
    limitId: id,
    tokensPerSecond: z.number().nonnegative(),
    from: id,
    listRevision: z.number().int(),
    askedAt: z.number(),
  }),
  z.strictObject({ method: z.literal('heartbeat'), heartbeat: heartbeatSchema }),
]);

/** Names of the methods that VMs call on each other. */
export const peerMethods = [
  'claim',
  'release',
  'lists',
  'answer',
  'sheet',
  'lease',
  'heartbeat',
] as const;
