import { z } from 'zod';

const port = z.number().int().min(0).max(65_535);
const host = z.string().min(1).default('127.0.0.1');

/** Shape of the settings of one daemon. */
export const settingsSchema = z.strictObject({
  vm: z.strictObject({
    id: z.string().min(1).max(64).describe('Id of this VM in the published list.'),
    zone: z.string().min(1).describe('Availability zone of this VM.'),
    region: z.string().min(1).describe('Region of this VM.'),
  }),
  callers: z.strictObject({
    host,
    port: port.describe('Port of the API for callers; 0 takes a free one.'),
    maxBodyBytes: z.number().int().positive().default(1_048_576),
    maxAnswerBytes: z.number().int().positive().default(8_388_608),
  }),
  admin: z.strictObject({
    host,
    port: port.describe('Port of the admin API; 0 takes a free one.'),
    operatorToken: z.string().min(16).describe('Token that may read and act.'),
    readerToken: z.string().min(16).optional().describe('Token that may only read.'),
  }),
  peers: z.strictObject({
    host,
    port: port.describe('Port for calls between VMs; 0 takes a free one.'),
    sharedKey: z.string().min(16).describe('Key that all VMs of the fleet share.'),
  }),
  platform: z.strictObject({
    configurationUrl: z.url().describe('Base address of the configuration service.'),
    listUrl: z.url().describe('Base address of the list of VMs.'),
    weightsUrl: z.url().optional().describe('Base address of the weight store.'),
    weightsBytesPerSecond: z
      .number()
      .positive()
      .optional()
      .describe('Rate of the weight store, which all VMs share, in bytes per second.'),
    watchSeconds: z.number().positive().max(300).default(30),
  }),
  drainSeconds: z.number().positive().default(600).describe('Longest wait for streams to end.'),
  logLevel: z.enum(['error', 'warn', 'info']).default('info'),
  seed: z.number().int().optional().describe('Seed of the random source; absent: the clock.'),
});

/** Settings of one daemon. */
export type Settings = z.infer<typeof settingsSchema>;

/** Settings as they are written, before defaults. */
export type SettingsInput = z.input<typeof settingsSchema>;
