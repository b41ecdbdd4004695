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

type Shape = Record<string, unknown>;

function toShape(schema: z.ZodType, io: 'input' | 'output' = 'output'): Shape {
  const { $schema, ...shape } = z.toJSONSchema(schema, { io, unrepresentable: 'any' });
  return shape;
}

function content(schema: z.ZodType, io?: 'input' | 'output'): Shape {
  return { 'application/json': { schema: toShape(schema, io) } };
}

function answers(status: number, description: string, schema: z.ZodType): Shape {
  return {
    [status]: { description, content: content(schema) },
    401: { description: 'The token is not known.', content: content(errorSchema) },
  };
}

function parameter(name: string, where: 'path' | 'query', type: string): Shape {
  return { name, in: where, required: where === 'path', schema: { type } };
}

function query(summary: string, schema: z.ZodType, parameters: readonly Shape[] = []): Shape {
  return { get: { summary, parameters, responses: answers(200, summary, schema) } };
}

function createPaths(): Shape {
  const page = [parameter('offset', 'query', 'integer'), parameter('limit', 'query', 'integer')];
  const pool = [parameter('pool', 'query', 'string')];
  const id = [parameter('id', 'path', 'string')];
  return {
    '/admin/state': query('State of this VM.', stateSchema),
    '/admin/table': query('Table in force on this VM.', tableSchema),
    '/admin/table/accounts': query('A page of the accounts.', accountsSchema, page),
    '/admin/classes': query('What each class gets now on this VM.', classesSchema),
    '/admin/endpoints': query('Endpoints as this VM sees them.', endpointsSchema, pool),
    '/admin/members': query('The fleet as this VM sees it.', membersSchema),
    '/admin/requests/{id}': query('What was decided about a request.', requestSchema, id),
    '/admin/table/check': {
      post: {
        summary: 'Checks a table before it is published; changes nothing.',
        requestBody: { required: true, content: content(publishedTableSchema, 'input') },
        responses: answers(200, 'The result of the check.', checkSchema),
      },
    },
    '/admin/drain': {
      post: {
        summary: 'Takes no new work, finishes what runs, then stops. Needs the operator role.',
        responses: answers(202, 'The VM is leaving.', drainSchema),
      },
    },
  };
}

/** Creates the OpenAPI document of the admin API from the schemas of its answers. */
export function createOpenApi(): Shape {
  return {
    openapi: '3.1.0',
    info: { title: 'filbertlatch admin API', version: '0.1.0' },
    components: { securitySchemes: { token: { type: 'http', scheme: 'bearer' } } },
    security: [{ token: [] }],
    paths: createPaths(),
  };
}
