import type { Action } from './action.js';
import type { Core } from './core.js';
import { fetchSheets } from './fetchSheets.js';
import { exchangeLists } from './onClaimCall.js';
import { sendDueHeartbeat } from './onHeartbeat.js';
import { finishRecheck } from './recheck.js';

/** Runs the periodic work with peers: recheck, heartbeats, sheet fetches and list exchange. */
export function onFleetTick(core: Core, now: number, actions: Action[]): void {
  finishRecheck(core, now, actions);
  sendDueHeartbeat(core, now, actions);
  fetchSheets(core, now, actions);
  exchangeLists(core, now, actions);
}
