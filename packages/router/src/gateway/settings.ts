import * as z from 'zod';

import { isPeerAddress } from './address.js';
import { machineBytes, MIN_LIMIT_BYTES } from '../memory/index.js';
import { checkSettings, readSettings } from '../settings/readSettings.js';

/** Fewer descriptors do not suffice for a server and its endpoints. */
const MIN_DESCRIPTORS = 64;

const address = z
  .string()
  .regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'expected IP:PORT')
  .describe('IP:PORT.');

const peerAddress = z
  .string()
  .refine(isPeerAddress, 'expected IP:PORT to which connections can be opened')
  .describe('IP:PORT.');

/** Settings of a gateway; JSON. Fields that are not named here are ignored. */
export const gatewaySettingsSchema = z.object({
  vm: z
    .object({
      id: z.string().min(1).describe('Id of this VM, unique in the fleet.'),
      zone: z.string().min(1).describe('Availability zone of this VM.'),
    })
    .describe('Identity of this VM.'),
  listen: z
    .object({
      callers: address.describe('IP:PORT where callers send requests.'),
      ready: address.describe('IP:PORT where the load balancer checks whether this VM is ready.'),
      control: address.describe(
        'IP:PORT of the control API for peers and operators, and of gossip over UDP.',
      ),
    })
    .describe('Addresses of this VM.'),
  seeds: z
    .array(peerAddress)
    .describe(
      'Control addresses of a few VMs, through which this VM joins the fleet; some may be stale.',
    ),
  platform: z
    .object({
      address: peerAddress,
      renewalMs: z
        .number()
        .positive()
        .optional()
        .describe('Interval at which endpoints renew their entries; absent when unknown.'),
    })
    .describe('The store that publishes configuration and endpoints.'),
  graceSeconds: z.number().positive().describe('Seconds between the signal to stop and the kill.'),
  repeats: z
    .object({
      ratio: z.number().min(0).describe('Repeats allowed per request.'),
      slack: z
        .number()
        .min(0)
        .describe('Repeats allowed in addition per window, shared by the whole fleet.'),
      windowSeconds: z
        .number()
        .positive()
        .describe('Seconds of the window in which repeats are counted.'),
    })
    .describe('Limits on requests that are sent to another endpoint.'),
  maxDescriptors: z
    .number()
    .int()
    .min(MIN_DESCRIPTORS)
    .optional()
    .describe(
      'Descriptors for sockets that the process may have; callers leave a part of them for calls to endpoints. Without it there is no bound on the connections of callers.',
    ),
  memoryLimitBytes: z
    .number()
    .int()
    .min(MIN_LIMIT_BYTES, 'one request body of 4 MB must fit beside small ones')
    .refine((bytes) => bytes <= machineBytes(), 'larger than the memory of the machine')
    .optional()
    .describe(
      'Bytes that the process may hold for others at a time: bodies, answers, what waits. ' +
        'By default three quarters of the limit of its heap, a third of the rest of the memory, or 256 MB, ' +
        'whichever is least.',
    ),
  logLevel: z
    .enum(['error', 'warn', 'info', 'debug'])
    .default('info')
    .describe('Least severe level of log lines that are written.'),
});

/** Validated settings of a gateway. */
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;

/** Validates settings; throws SettingsError that lists every fault. */
export function parseGatewaySettings(value: unknown): GatewaySettings {
  return checkSettings(gatewaySettingsSchema, value);
}

/** Reads and validates a settings file; throws RouterError when it cannot be read or is invalid. */
export async function loadGatewaySettings(path: string): Promise<GatewaySettings> {
  return parseGatewaySettings(await readSettings(path));
}
