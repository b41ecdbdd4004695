import { recordLoadedModels, recordOrderEnd } from '../orders/index.js';
import { recordLoadReport } from '../placement/index.js';
import type { Action } from './action.js';
import type { Core } from './core.js';
import { increment } from './counters.js';
import { dispatchWaiting } from './dispatchWaiting.js';
import type { MessageOf } from './message.js';

/** Records an engine's load report, and the models it has loaded if it is managed. */
export function onLoadReported(
  core: Core,
  { report }: MessageOf<'load-reported'>,
  now: number,
  actions: Action[],
): void {
  recordLoadReport(core.placement, report, now);
  const endpoint = core.table.view?.endpoints.get(report.endpointId);
  if (endpoint?.kind !== 'engine' || !endpoint.managed) return;
  const previousModels = core.orders.engines.get(report.endpointId)?.loaded ?? [];
  recordLoadedModels(core.orders, report.endpointId, report.models, report.measuredAt);
  if (previousModels.join() === report.models.join()) return;
  const fields = { endpoint: report.endpointId, models: report.models.join(' ') };
  actions.push({ kind: 'state-changed', level: 'info', code: 'models_changed', fields });
  for (const pool of core.admission.pools.keys()) dispatchWaiting(core, pool, now, actions);
}

/** Records the outcome of an order to an engine. */
export function onOrderEnded(
  core: Core,
  { endpointId, end }: MessageOf<'order-ended'>,
  actions: Action[],
): void {
  recordOrderEnd(core.orders, endpointId, end);
  if (end === 'applied') return;
  increment(core, 'orders_failed');
  const fields = { endpoint: endpointId, end };
  actions.push({ kind: 'state-changed', level: 'warn', code: 'order_failed', fields });
}
