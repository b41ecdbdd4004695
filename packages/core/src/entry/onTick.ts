import { takeExpired } from '../admission/index.js';
import type { Action } from './action.js';
import type { Core } from './core.js';
import { dispatchWaiting } from './dispatchWaiting.js';
import { refuseRequest } from './finishRequest.js';
import { giveOrders } from './giveOrders.js';
import { onFleetTick } from './onFleetTick.js';

/** Sheds what can no longer be in time and tries the queues again. */
export function onTick(core: Core, now: number, actions: Action[]): void {
  onFleetTick(core, now, actions);
  for (const request of takeExpired(core.admission, now)) {
    const live = core.requests.get(request.id);
    if (live === undefined) continue;
    const refusal = {
      code: 'deadline_unreachable',
      message: 'The answer could not be in time.',
      verdict: live.verdict,
      retryable: request.repeatable || live.verdict === 'not-run',
      retryAfterMs: 1000,
    } as const;
    refuseRequest(core, live, refusal, 'shed', actions);
  }
  giveOrders(core, now, actions);
  for (const pool of core.admission.pools.keys()) dispatchWaiting(core, pool, now, actions);
}
