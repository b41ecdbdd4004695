import { listLimits, settleTokens } from '../limits/index.js';
import type { Core, LiveRequest } from './core.js';

/** Corrects the tokens taken from a request's limits to those that it used. */
export function settleLimits(core: Core, live: LiveRequest): void {
  const { view } = core.table;
  if (view === null || live.chargedTokens === undefined) return;
  const { accountId, classId, promptTokens } = live.request;
  const used = live.attempts === 0 ? 0 : promptTokens + live.deliveredTokens;
  settleTokens(core.limits, listLimits(view, accountId, classId), used - live.chargedTokens);
  live.chargedTokens = undefined;
}
