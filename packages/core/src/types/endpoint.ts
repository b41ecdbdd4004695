import * as z from 'zod';

const commonFields = {
  id: z.string().min(1).max(64).describe('Name of the endpoint.'),
  url: z.url({ protocol: /^https?$/ }).describe('Base address.'),
  zone: z.string().min(1).describe('Availability zone.'),
  region: z.string().min(1).describe('Region.'),
  slots: z.number().int().positive().describe('Requests it can compute at the same time.'),
  state: z.enum(['live', 'leaving']).default('live').describe('Whether it takes new work.'),
};

/** Shape of an engine's row in the endpoints sheet. */
export const engineSchema = z.strictObject({
  ...commonFields,
  kind: z.literal('engine').describe('A model engine.'),
  models: z.array(z.string().min(1)).describe('Models it serves when it starts.'),
  accelerators: z.number().int().positive().default(1).describe('Accelerators it runs on.'),
  fencing: z.enum(['checked', 'ignored']).describe('Whether it refuses old fencing numbers.'),
  managed: z.boolean().default(false).describe('True: the router may order loads and unloads.'),
});

/** Shape of a plain service's row in the endpoints sheet. */
export const serviceSchema = z.strictObject({
  ...commonFields,
  kind: z.literal('service').describe('A plain service.'),
  service: z
    .string()
    .regex(/^[a-z0-9-]+$/, 'expected lower-case letters, digits and hyphens')
    .describe('Name that callers put into the path.'),
  repeatableMethods: z
    .array(z.string())
    .default(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'])
    .describe('Methods that may run more than once.'),
});

/** Shape of one row of the endpoints sheet. */
export const endpointSchema = z.discriminatedUnion('kind', [engineSchema, serviceSchema]);

/** An engine, which runs models. */
export type Engine = z.infer<typeof engineSchema>;

/** A plain service: an endpoint that runs no models. */
export type Service = z.infer<typeof serviceSchema>;

/** An endpoint that the router sends requests to: an engine or a plain service. */
export type Endpoint = z.infer<typeof endpointSchema>;
