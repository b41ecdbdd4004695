import {
  beginRecheck,
  endRecheck,
  hasFailingCalls,
  listPeers,
  type Recheck,
} from '../membership/index.js';
import { clearOpenOrders } from '../orders/index.js';
import { tableRevision } from '../table/index.js';
import type { Action } from './action.js';
import type { Core } from './core.js';
import { increment } from './counters.js';
import type { MessageOf } from './message.js';
import { sendHeartbeat } from './onHeartbeat.js';

/** Sends the heartbeats whose answers a recheck awaits, once, when the VM list is known. */
export function requestHeartbeats(core: Core, now: number, actions: Action[]): void {
  const { membership } = core;
  const { recheck } = membership;
  if (recheck === null || recheck.arePeersAsked || membership.list === null) return;
  recheck.arePeersAsked = true;
  recheck.peers = Math.min(recheck.peers, listPeers(membership).length);
  for (let asked = 0; asked < recheck.peers; asked += 1) sendHeartbeat(core, now, actions);
}

/** Begins a recheck after the process was paused: reads the state again before any dispatch. */
export function onWoke(
  core: Core,
  { pausedMs }: MessageOf<'woke'>,
  now: number,
  actions: Action[],
): void {
  increment(core, 'pauses');
  beginRecheck(core.membership, now);
  clearOpenOrders(core.orders);
  actions.push({ kind: 'restart-watches' });
  actions.push({ kind: 'fetch-manifest', peer: null }, { kind: 'fetch-list', peer: null });
  requestHeartbeats(core, now, actions);
  const fields = { pausedMs: Math.round(pausedMs) };
  actions.push({ kind: 'state-changed', level: 'warn', code: 'woke_late', fields });
}

function isRecheckOver(recheck: Recheck, now: number): boolean {
  if (now >= recheck.until) return true;
  return !recheck.table && !recheck.list && recheck.arePeersAsked && recheck.peers === 0;
}

/** Returns the highest table revision of reachable peers, except one that this VM has refused. */
function findHighestPeerRevision(core: Core): number {
  const refused = core.table.refused?.revision ?? -1;
  return listPeers(core.membership).reduce((highest, vm) => {
    const member = core.membership.members.get(vm.id);
    const revision = member?.heartbeat?.tableRevision ?? -1;
    if (hasFailingCalls(member) || revision === refused) return highest;
    return Math.max(highest, revision);
  }, -1);
}

function isStateCurrent(core: Core): boolean {
  const { table, membership } = core;
  if (table.view === null || membership.list === null) return false;
  return membership.ready || tableRevision(table) >= findHighestPeerRevision(core);
}

/** Ends a recheck when the state is current and all sources have answered or its time is over. */
export function finishRecheck(core: Core, now: number, actions: Action[]): void {
  const { recheck } = core.membership;
  if (recheck === null || !isRecheckOver(recheck, now) || !isStateCurrent(core)) return;
  if (!endRecheck(core.membership)) return;
  const fields = { revision: tableRevision(core.table) };
  actions.push({ kind: 'state-changed', level: 'info', code: 'ready', fields });
}
