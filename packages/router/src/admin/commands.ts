import { checkTable } from '@filbertlatch/core';
import type { Context, Hono } from 'hono';
import { bodyLimit } from 'hono/body-limit';
import type { z } from 'zod';

import type { AdminContext } from './context.js';
import { requireRole } from './roles.js';
import type { checkSchema, drainSchema } from './schemas.js';

const MOST_TABLE_BYTES = 16_777_216;

async function check(c: Context): Promise<Response> {
  let value: unknown;
  try {
    value = await c.req.json();
  } catch {
    return c.json({ error: 'the body is not JSON' }, 400);
  }
  const checked = checkTable(value);
  const faults = checked.ok ? [] : checked.faults.map((fault) => ({ ...fault }));
  const answer: z.infer<typeof checkSchema> = { ok: checked.ok, faults };
  return c.json(answer);
}

/** Adds what an operator may order, and the check of a table, which a reader may also ask. */
export function addCommands(api: Hono, { tokens, beginDrain }: AdminContext): void {
  const onError = (c: Context) => c.json({ error: `over ${MOST_TABLE_BYTES} bytes` }, 413);
  api.post('/admin/table/check', bodyLimit({ maxSize: MOST_TABLE_BYTES, onError }), check);
  api.post('/admin/drain', requireRole('operator', tokens), (c) => {
    beginDrain();
    const answer: z.infer<typeof drainSchema> = { draining: true };
    return c.json(answer, 202);
  });
}
