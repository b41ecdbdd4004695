import * as z from 'zod';

import { findCredentialFaults } from './findCredentialFaults.js';

const host = z
  .string()
  .min(1)
  .default('127.0.0.1')
  .describe('Address to listen on; the default is reached from this VM only.');
const file = z.string().min(1);
const secret = z
  .string()
  .min(16)
  .max(512)
  .regex(/^[\x21-\x7e]+$/, 'expected 16 to 512 visible ASCII characters');

const portOf = (use: string) =>
  z.number().int().min(0).max(65_535).describe(`Port ${use}; 0 takes a free one.`);

const tlsSchema = z
  .strictObject({
    certificateFile: file.describe('PEM file with the certificate and its chain.'),
    keyFile: file.describe('PEM file with the private key.'),
  })
  .describe('TLS; both files are read again when they change.');

const peerTlsSchema = z
  .strictObject({
    ...tlsSchema.shape,
    authorityFile: file.describe('PEM file with the authorities that peers must be signed by.'),
  })
  .describe('Mutual TLS: both sides show a certificate that an authority signed.');

const vmSchema = z
  .strictObject({
    id: z.string().min(1).max(64).describe('Id of this VM in the published list.'),
    zone: z.string().min(1).describe('Availability zone of this VM.'),
    region: z.string().min(1).describe('Region of this VM.'),
  })
  .describe('Which VM this is.');

const callersSchema = z
  .strictObject({
    host,
    port: portOf('of the API for callers'),
    tls: tlsSchema.optional(),
    maxBodyBytes: z
      .number()
      .int()
      .positive()
      .default(1_048_576)
      .describe('Largest body of a request.'),
    maxAnswerBytes: z
      .number()
      .int()
      .positive()
      .default(8_388_608)
      .describe('Largest answer that is kept until it is whole.'),
    maxHeaderBytes: z
      .number()
      .int()
      .min(1024)
      .max(1_048_576)
      .default(16_384)
      .describe('Largest sum of the headers of a request.'),
    maxConnections: z
      .number()
      .int()
      .positive()
      .default(16_384)
      .describe('Most open connections; further ones are closed at once.'),
    maxOpenRequests: z
      .number()
      .int()
      .positive()
      .default(8192)
      .describe('Most requests without a final answer; further ones are refused.'),
    headersTimeoutSeconds: z
      .number()
      .positive()
      .max(600)
      .default(10)
      .describe('Longest time for a caller to send the headers.'),
    requestTimeoutSeconds: z
      .number()
      .positive()
      .max(3600)
      .default(60)
      .describe('Longest time for a caller to send the whole request.'),
    stallSeconds: z
      .number()
      .positive()
      .max(600)
      .default(10)
      .describe('Longest time that a caller may not read while its answer waits.'),
  })
  .describe('The API for callers.');

const adminSchema = z
  .strictObject({
    host,
    port: portOf('of the admin API'),
    tls: tlsSchema.optional(),
    operatorToken: secret.optional().describe('Token that may read and act.'),
    operatorTokenFile: file.optional().describe('File with such tokens, one a line.'),
    readerToken: secret.optional().describe('Token that may only read.'),
    readerTokenFile: file.optional().describe('File with such tokens, one a line.'),
    keptDecisions: z
      .number()
      .int()
      .positive()
      .max(100_000)
      .default(2000)
      .describe('Requests whose decisions are kept to be explained.'),
  })
  .describe('The API for operators; it needs operatorToken or operatorTokenFile.');

const peersSchema = z
  .strictObject({
    host,
    port: portOf('for calls between VMs'),
    sharedKey: secret.optional().describe('Key that all VMs of the fleet share.'),
    sharedKeyFile: file
      .optional()
      .describe('File with such keys, one a line: the first is sent, all are taken.'),
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
      .describe('Calls a second to the platform that the whole fleet may make.'),
    readersPerZone: z
      .number()
      .int()
      .positive()
      .optional()
      .describe('VMs a zone that watch the platform; absent: all.'),
    watchSeconds: z
      .number()
      .positive()
      .max(300)
      .default(30)
      .describe('Longest wait of one watch for a change.'),
  })
  .describe('What the platform publishes; it is only read.');

const claimsSchema = z
  .strictObject({
    witnesses: z
      .number()
      .int()
      .min(1)
      .max(9)
      .default(3)
      .describe('VMs that vouch for a key; most of them must answer.'),
    windowSeconds: z
      .number()
      .positive()
      .default(300)
      .describe('How long a key may be sent again, and its answer is kept.'),
    skewSeconds: z
      .number()
      .nonnegative()
      .default(2)
      .describe('Largest difference between two clocks, those of callers included.'),
    startWaitSeconds: z
      .number()
      .nonnegative()
      .default(5)
      .describe('Longest wait of a new VM for the lists of an older one.'),
    keptAnswerBytes: z
      .number()
      .int()
      .positive()
      .default(16_777_216)
      .describe('Most memory for answers that are kept for a resend.'),
  })
  .describe('Keys of requests that run at most once; the same on all VMs.');

/** Shape of the settings of one daemon. */
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
      .describe('Time in which a leaving VM still takes requests, until the balancer notices.'),
    claims: claimsSchema.prefault({}),
    drainSeconds: z.number().positive().default(600).describe('Longest wait for streams to end.'),
    logLevel: z.enum(['error', 'warn', 'info']).default('info').describe('Least level of lines.'),
    seed: z.number().int().optional().describe('Seed of the random source; absent: the clock.'),
  })
  .superRefine((settings, context) => {
    findCredentialFaults(settings).forEach(({ path, message }) => {
      context.addIssue({ code: 'custom', path: [...path], message });
    });
  });

/** Settings of one daemon. */
export type Settings = z.infer<typeof settingsSchema>;

/** Settings as they are written, before defaults. */
export type SettingsInput = z.input<typeof settingsSchema>;
