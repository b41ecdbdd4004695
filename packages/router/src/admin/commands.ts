import { checkTable } from '@filbertlatch/core';
import type { Context, Hono } from 'hono';
import { bodyLimit } from 'hono/body-limit';
import type { z } from 'zod';

import type { AdminContext } from './adminContext.js';
import { requireRole } from './roles.js';
import type { checkSchema, drainSchema } from './schemas.js';

const MAX_TABLE_BYTES = 16_777_216;

async function checkPostedTable(c: Context): Promise<Response> {
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

/** Adds the drain, for operators only, and the check of a table, which readers may call too. */
export function addCommands(api: Hono, { tokens, beginDrain }: AdminContext): void {
  const onError = (c: Context) => c.json({ error: `over ${MAX_TABLE_BYTES} bytes` }, 413);
  api.post(
    '/admin/table/check',
    bodyLimit({ maxSize: MAX_TABLE_BYTES, onError }),
    checkPostedTable,
  );
  api.post('/admin/drain', requireRole('operator', tokens), (c) => {
    beginDrain();
    const answer: z.infer<typeof drainSchema> = { draining: true };
    return c.json(answer, 202);
  });
}
