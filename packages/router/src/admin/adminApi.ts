import { Hono, type Context } from 'hono';

import { now } from '../clock.js';
import type { Decider } from '../decider/index.js';
import { renderMetrics } from '../metrics/index.js';
import { areSecretsEqual } from '../peers/index.js';
import type { Settings } from '../settings/index.js';
import { dumpState } from './dumpState.js';

/** What the admin API works with. */
export interface AdminContext {
  readonly decider: Decider;
  readonly settings: Settings['admin'];
  readonly beginDrain: () => void;
}

type Role = 'reader' | 'operator';

function roleOf(c: Context, settings: Settings['admin']): Role | null {
  const token = c.req.header('authorization')?.replace(/^Bearer /, '') ?? '';
  if (areSecretsEqual(token, settings.operatorToken)) return 'operator';
  const { readerToken } = settings;
  if (readerToken !== undefined && areSecretsEqual(token, readerToken)) return 'reader';
  return null;
}

function addQueries(api: Hono, { decider }: AdminContext): void {
  api.get('/admin/state', (c) => c.json(dumpState(decider.core, now())));
  api.get('/metrics', async (c) => c.text(await renderMetrics(decider.core)));
}

function addCommands(api: Hono, context: AdminContext): void {
  api.post('/admin/drain', (c) => {
    if (roleOf(c, context.settings) !== 'operator') {
      return c.json({ error: 'the operator role is needed' }, 403);
    }
    context.beginDrain();
    return c.json({ draining: true }, 202);
  });
}

/** Creates the API that operators use. */
export function createAdminApi(context: AdminContext): Hono {
  const api = new Hono();
  api.use(async (c, next) => {
    if (roleOf(c, context.settings) === null) return c.json({ error: 'unknown token' }, 401);
    return next();
  });
  addQueries(api, context);
  addCommands(api, context);
  return api;
}
