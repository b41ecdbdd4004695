import { Hono } from 'hono';

import { addCommands } from './commands.js';
import type { AdminContext } from './adminContext.js';
import { createOpenApi } from './openApi.js';
import { addPage } from './page/index.js';
import { addQueries } from './queries.js';
import { requireRole } from './roles.js';

/** Creates the admin API with the operators' page. */
export function createAdminApi(context: AdminContext): Hono {
  const api = new Hono();
  const openApi = createOpenApi();
  addPage(api);
  api.get('/openapi.json', (c) => c.json(openApi));
  api.use(requireRole('reader', context.tokens));
  addQueries(api, context);
  addCommands(api, context);
  api.notFound((c) => c.json({ error: `there is no ${c.req.path}` }, 404));
  api.onError((error, c) => c.json({ error: error.name }, 500));
  return api;
}
