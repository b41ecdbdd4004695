import * as z from 'zod';

import { checkSettings, readSettings } from '../settings/readSettings.js';

const address = z
  .string()
  .regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'expected IP:PORT')
  .describe('IP:PORT.');

/** Settings of a gateway; JSON. Fields that are not named here are ignored. */
export const gatewaySettingsSchema = z.object({
  vm: z
    .object({
      id: z.string().min(1).describe('Id of this VM, unique in the fleet.'),
      zone: z.string().min(1).describe('Availability zone of this VM.'),
    })
    .describe('Which VM this is.'),
  listen: z
    .object({
      callers: address.describe('Where requests come in.'),
      ready: address.describe('Where the balancer asks whether this VM is ready.'),
      control: address.describe('Where peers and operators call; also the UDP port of peers.'),
    })
    .describe('Addresses of this VM.'),
  seeds: z.array(address).describe('Control addresses of a few VMs; some may be stale.'),
  platform: z.object({ address }).describe('The store that publishes configuration and endpoints.'),
  graceSeconds: z.number().positive().describe('Time between a request to stop and the kill.'),
  repeats: z
    .object({
      ratio: z.number().min(0).describe('Repeats for each request.'),
      slack: z.number().min(0).describe('Repeats besides, for the whole fleet.'),
      windowSeconds: z.number().positive().describe('Window in which repeats are counted.'),
    })
    .describe('Bound on requests sent to a second endpoint.'),
  logLevel: z
    .enum(['error', 'warn', 'info', 'debug'])
    .default('info')
    .describe('Least urgent lines that are written.'),
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
