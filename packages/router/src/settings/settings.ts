import * as z from 'zod';

import { findCredentialFaults } from './findCredentialFaults.js';

const host = z
  .string()
  .min(1)
  .default('127.0.0.1')
  .describe('Address to listen on; the default accepts connections from this VM only.');
const filePath = z.string().min(1);
const secret = z
  .string()
  .min(16)
  .max(512)
  .regex(/^[\x21-\x7e]+$/, 'expected 16 to 512 visible ASCII characters');

const createPortSchema = (use: string) =>
  z.number().int().min(0).max(65_535).describe(`Port ${use}; 0 picks a free one.`);

const tlsSchema = z
  .strictObject({
    certificateFile: filePath.describe('PEM file with the certificate chain.'),
    keyFile: filePath.describe('PEM file with the private key.'),
  })
  .describe('TLS; both files are reloaded when they change.');

const peerTlsSchema = z
  .strictObject({
    ...tlsSchema.shape,
    authorityFile: filePath.describe(
      'PEM file with the authorities that must have signed the certificates of peers.',
    ),
  })
  .describe('Mutual TLS: both sides present a certificate that one of the authorities signed.');

const vmSchema = z
  .strictObject({
    id: z.string().min(1).max(64).describe('Id of this VM in the published list.'),
    zone: z.string().min(1).describe('Availability zone of this VM.'),
    region: z.string().min(1).describe('Region of this VM.'),
  })
  .describe('Identity of this VM.');

const callersSchema = z
  .strictObject({
    host,
    port: createPortSchema('of the API for callers'),
    tls: tlsSchema.optional(),
    maxBodyBytes: z
      .number()
      .int()
      .positive()
      .default(1_048_576)
      .describe('Largest body of a request, in bytes.'),
    maxAnswerBytes: z
      .number()
      .int()
      .positive()
      .default(8_388_608)
      .describe('Largest answer that is buffered until it is complete, in bytes.'),
    maxHeaderBytes: z
      .number()
      .int()
      .min(1024)
      .max(1_048_576)
      .default(16_384)
      .describe('Largest total size of the headers of a request, in bytes.'),
    maxConnections: z
      .number()
      .int()
      .positive()
      .default(16_384)
      .describe('Maximum number of open connections; further ones are closed at once.'),
    maxOpenRequests: z
      .number()
      .int()
      .positive()
      .default(8192)
      .describe('Maximum number of requests without a final answer; further ones are refused.'),
    headersTimeoutSeconds: z
      .number()
      .positive()
      .max(600)
      .default(10)
      .describe('Longest time for a caller to send the headers, in seconds.'),
    requestTimeoutSeconds: z
      .number()
      .positive()
      .max(3600)
      .default(60)
      .describe('Longest time for a caller to send the whole request, in seconds.'),
    stallSeconds: z
      .number()
      .positive()
      .max(600)
      .default(10)
      .describe('Longest time that a caller may stop reading its answer, in seconds.'),
  })
  .describe('The API for callers.');

const adminSchema = z
  .strictObject({
    host,
    port: createPortSchema('of the admin API'),
    tls: tlsSchema.optional(),
    operatorToken: secret.optional().describe('Token that allows queries and commands.'),
    operatorTokenFile: filePath.optional().describe('File with operator tokens, one per line.'),
    readerToken: secret.optional().describe('Token that allows queries only.'),
    readerTokenFile: filePath.optional().describe('File with reader tokens, one per line.'),
    keptDecisions: z
      .number()
      .int()
      .positive()
      .max(100_000)
      .default(2000)
      .describe('Number of latest requests whose decisions are kept for the admin API.'),
  })
  .describe('The API for operators; it needs operatorToken or operatorTokenFile.');

const peersSchema = z
  .strictObject({
    host,
    port: createPortSchema('for calls between VMs'),
    sharedKey: secret.optional().describe('Key that all VMs of the fleet share.'),
    sharedKeyFile: filePath
      .optional()
      .describe('File with shared keys, one per line: the first is sent, all are accepted.'),
    tls: peerTlsSchema.optional(),
  })
  .describe('Calls between VMs; beyond loopback they need a shared key or mutual TLS.');

const platformSchema = z
  .strictObject({
    configurationUrl: z.url().describe('Base address of the configuration service.'),
    listUrl: z.url().describe('Base address of the list of VMs.'),
    weightsUrl: z.url().optional().describe('Base address of the weight store.'),
    weightsBytesPerSecond: z
      .number()
      .positive()
      .optional()
      .describe('Rate of the weight store, which all VMs share, in bytes per second.'),
    callsPerSecond: z
      .number()
      .positive()
      .default(1000)
      .describe('Calls per second to the platform that the whole fleet may make.'),
    readersPerZone: z
      .number()
      .int()
      .positive()
      .optional()
      .describe('VMs per availability zone that watch the platform; all VMs when absent.'),
    watchSeconds: z
      .number()
      .positive()
      .max(300)
      .default(30)
      .describe('Longest wait of one long poll for a change, in seconds.'),
  })
  .describe('Services of the platform, which the router only reads.');

const claimsSchema = z
  .strictObject({
    witnesses: z
      .number()
      .int()
      .min(1)
      .max(9)
      .default(3)
      .describe('VMs that record the claim of a key; a majority of them must grant it.'),
    windowSeconds: z
      .number()
      .positive()
      .default(300)
      .describe('Time during which a key may be sent again and its answer is kept, in seconds.'),
    skewSeconds: z
      .number()
      .nonnegative()
      .default(2)
      .describe('Largest difference between two clocks, including those of callers, in seconds.'),
    startWaitSeconds: z
      .number()
      .nonnegative()
      .default(5)
      .describe('Longest wait of a new VM for the lists of an older one, in seconds.'),
    keptAnswerBytes: z
      .number()
      .int()
      .positive()
      .default(16_777_216)
      .describe('Maximum memory for answers kept for repeated keys, in bytes.'),
  })
  .describe('Idempotency keys of requests that run at most once; the same settings on all VMs.');

/** Schema of the settings of one daemon. */
export const settingsSchema = z
  .strictObject({
    vm: vmSchema,
    callers: callersSchema,
    admin: adminSchema,
    peers: peersSchema,
    platform: platformSchema,
    drainGraceSeconds: z
      .number()
      .min(0)
      .max(3)
      .default(0)
      .describe(
        'Time in which a leaving VM still accepts requests, in seconds, until the balancer notices.',
      ),
    claims: claimsSchema.prefault({}),
    drainSeconds: z
      .number()
      .positive()
      .default(600)
      .describe('Longest wait of a drain for streams to end, in seconds.'),
    logLevel: z
      .enum(['error', 'warn', 'info'])
      .default('info')
      .describe('Lowest level that is logged.'),
    seed: z
      .number()
      .int()
      .optional()
      .describe('Seed of the random source; taken from the clock when absent.'),
  })
  .superRefine((settings, context) => {
    findCredentialFaults(settings).forEach(({ path, message }) => {
      context.addIssue({ code: 'custom', path: [...path], message });
    });
  });

/** Settings of one daemon. */
export type Settings = z.infer<typeof settingsSchema>;

/** Settings as written in the file, before defaults are filled in. */
export type SettingsInput = z.input<typeof settingsSchema>;
