import { listWaitingPools } from '../admission/index.js';
import type { Action } from './action.js';
import type { Core } from './core.js';
import { dispatchWaiting, shedPoolOverflow } from './dispatchWaiting.js';
import { issueOrders } from './issueOrders.js';
import { moveAttempts } from './moveAttempts.js';
import { onFleetTick } from './onFleetTick.js';
import { renewLeases } from './onLease.js';
import { shedUnreachableDeadlines } from './shedWaiting.js';
import { watchHealth } from './watchHealth.js';
import { runSuspects } from './isolateSuspects.js';

/** Runs all periodic work, then sheds and dispatches the waiting requests of each pool. */
export function onTick(core: Core, now: number, actions: Action[]): void {
  onFleetTick(core, now, actions);
  issueOrders(core, now, actions);
  renewLeases(core, now, actions);
  watchHealth(core, now, actions);
  moveAttempts(core, now, actions);
  runSuspects(core, now, actions);
  for (const pool of listWaitingPools(core.admission)) {
    shedUnreachableDeadlines(core, pool, now, actions);
    dispatchWaiting(core, pool, now, actions);
    shedPoolOverflow(core, pool, now, actions);
  }
}
