import { tableSchema as publishedTableSchema } from '@filbertlatch/core';
import * as z from 'zod';

import {
  accountsSchema,
  checkSchema,
  classesSchema,
  drainSchema,
  endpointsSchema,
  errorSchema,
  membersSchema,
  requestSchema,
  stateSchema,
  tableSchema,
} from './schemas.js';

/** Part of the OpenAPI document. */
type JsonObject = Record<string, unknown>;

function toJsonSchema(schema: z.ZodType, io: 'input' | 'output' = 'output'): JsonObject {
  const { $schema, ...shape } = z.toJSONSchema(schema, { io, unrepresentable: 'any' });
  return shape;
}

function describeContent(schema: z.ZodType, io?: 'input' | 'output'): JsonObject {
  return { 'application/json': { schema: toJsonSchema(schema, io) } };
}

function describeResponses(status: number, description: string, schema: z.ZodType): JsonObject {
  return {
    [status]: { description, content: describeContent(schema) },
    401: { description: 'The token is not known.', content: describeContent(errorSchema) },
  };
}

function describeParameter(name: string, where: 'path' | 'query', type: string): JsonObject {
  return { name, in: where, required: where === 'path', schema: { type } };
}

function describeQuery(
  summary: string,
  schema: z.ZodType,
  parameters: readonly JsonObject[] = [],
): JsonObject {
  return { get: { summary, parameters, responses: describeResponses(200, summary, schema) } };
}

function createPaths(): JsonObject {
  const page = [
    describeParameter('offset', 'query', 'integer'),
    describeParameter('limit', 'query', 'integer'),
  ];
  const pool = [describeParameter('pool', 'query', 'string')];
  const id = [describeParameter('id', 'path', 'string')];
  return {
    '/admin/state': describeQuery('State of this VM.', stateSchema),
    '/admin/table': describeQuery('Table in force on this VM.', tableSchema),
    '/admin/table/accounts': describeQuery('A page of the accounts.', accountsSchema, page),
    '/admin/classes': describeQuery('What each class gets now on this VM.', classesSchema),
    '/admin/endpoints': describeQuery('Endpoints as this VM sees them.', endpointsSchema, pool),
    '/admin/members': describeQuery('The fleet as this VM sees it.', membersSchema),
    '/admin/requests/{id}': describeQuery('What was decided about a request.', requestSchema, id),
    '/admin/table/check': {
      post: {
        summary: 'Checks a table before it is published; changes nothing.',
        requestBody: { required: true, content: describeContent(publishedTableSchema, 'input') },
        responses: describeResponses(200, 'The result of the check.', checkSchema),
      },
    },
    '/admin/drain': {
      post: {
        summary: 'Takes no new work, finishes what runs, then stops. Needs the operator role.',
        responses: describeResponses(202, 'The VM is leaving.', drainSchema),
      },
    },
  };
}

/** Creates the OpenAPI document of the admin API from the schemas of its answers. */
export function createOpenApi(): JsonObject {
  return {
    openapi: '3.1.0',
    info: { title: 'filbertlatch admin API', version: '0.1.0' },
    components: { securitySchemes: { token: { type: 'http', scheme: 'bearer' } } },
    security: [{ token: [] }],
    paths: createPaths(),
  };
}
