import type { RegisteredEndpoint } from '@filbertlatch/core';
import * as z from 'zod';

import { isPeerAddress } from './address.js';

/** An endpoint has no more connections from one VM than that has ports. */
const MAX_SLOTS = 65_535;

/** Longest id or name that VMs tell each other. */
const MAX_NAME_LENGTH = 256;

/** The id is sent as the value of a header. */
const ENDPOINT_ID = /^[!-~]{1,256}$/;

const name = z.string().min(1).max(MAX_NAME_LENGTH);

const registeredEndpointSchema = z.object({
  id: z.string().regex(ENDPOINT_ID),
  serviceId: name,
  address: z.string().refine(isPeerAddress),
  zone: z.string().max(MAX_NAME_LENGTH),
  slots: z.number().int().positive().max(MAX_SLOTS),
  state: z.enum(['ready', 'draining']),
  startedAt: z.number().nullable(),
  version: name.nullable().default(null),
});

/** Returns an endpoint that the store or a peer lists; null when requests cannot be sent to it. */
export function checkEndpoint(endpoint: unknown): RegisteredEndpoint | null {
  return registeredEndpointSchema.safeParse(endpoint).data ?? null;
}
