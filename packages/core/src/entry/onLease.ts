import {
  adoptListRevision,
  grantLease,
  pauseGrants,
  LEASE_MS,
  recordLease,
  takeDueLeaseRequests,
  type LeaseRequest,
} from '../limits/index.js';
import { countLiveVms } from '../membership/index.js';
import { highestRankedMember } from '../shared/index.js';
import { listLiveVms, type LeaseCall, type LeaseReply, type Vm } from '../types/index.js';
import type { Action } from './action.js';
import { nextId, type Core } from './core.js';

/** Minimum interval between two checks for leases to renew. */
const RENEWAL_INTERVAL_MS = 100;

/** Age after which the list revision in a peer's heartbeat is ignored. */
const MAX_HEARTBEAT_AGE_MS = 4000;

/** Returns the VM that grants the leases of a limit: the same on all VMs with the same list. */
export function findCoordinator(core: Core, limitId: string): Vm | undefined {
  return highestRankedMember(`limits/${limitId}`, listLiveVms(core.membership.list));
}

function isCoordinator(core: Core, limitId: string): boolean {
  return findCoordinator(core, limitId)?.id === core.membership.self.id;
}

function hasPeerOnOtherList(core: Core, now: number): boolean {
  const revision = core.membership.list?.revision;
  for (const { heartbeat, heardAt } of core.membership.members.values()) {
    if (heartbeat === null || now - heardAt > MAX_HEARTBEAT_AGE_MS) continue;
    if (heartbeat.listRevision !== revision) return true;
  }
  return false;
}

/** Returns the tokens per second granted to a VM; 0 when this VM does not coordinate the limit. */
function grantIfCoordinator(
  core: Core,
  limitId: string,
  requestedTokensPerSecond: number,
  vmId: string,
  now: number,
): number {
  const limit = core.table.view?.limits.get(limitId);
  if (limit === undefined || !isCoordinator(core, limitId)) return 0;
  return grantLease(core.limits.coordinator, limit, vmId, requestedTokensPerSecond, now);
}

/** Answers a lease request; a VM with another list revision is granted 0 tokens per second. */
export function onLeaseCalled(
  core: Core,
  callId: string,
  call: LeaseCall,
  now: number,
  actions: Action[],
): void {
  const isSameList = call.listRevision === core.membership.list?.revision;
  const tokensPerSecond = isSameList
    ? grantIfCoordinator(core, call.limitId, call.tokensPerSecond, call.from, now)
    : 0;
  actions.push({ kind: 'reply-peer', callId, reply: { tokensPerSecond, durationMs: LEASE_MS } });
}

/** Records a lease, which runs from the time it was requested: it ends before the coordinator's. */
export function onLeaseReplied(core: Core, call: LeaseCall, reply: LeaseReply): void {
  const until = call.askedAt + Math.min(reply.durationMs, LEASE_MS);
  recordLease(core.limits, call.limitId, reply.tokensPerSecond, until);
}

function requestLease(
  core: Core,
  { limit, tokensPerSecond }: LeaseRequest,
  now: number,
  actions: Action[],
): void {
  const peer = findCoordinator(core, limit.id);
  if (peer === undefined) return;
  const from = core.membership.self.id;
  if (peer.id === from) {
    const granted = grantIfCoordinator(core, limit.id, tokensPerSecond, from, now);
    recordLease(core.limits, limit.id, granted, now + LEASE_MS);
    return;
  }
  const call = {
    method: 'lease',
    limitId: limit.id,
    tokensPerSecond,
    from,
    listRevision: core.membership.list?.revision ?? -1,
    askedAt: now,
  } as const;
  actions.push({ kind: 'call-peer', callId: nextId(core, 'l'), peer, call });
}

/** Requests the leases that are due, and pauses grants while a peer has another VM list. */
export function renewLeases(core: Core, now: number, actions: Action[]): void {
  const { limits, membership, table } = core;
  if (table.view === null || membership.list === null) return;
  if (now - limits.leasesCheckedAt < RENEWAL_INTERVAL_MS) return;
  limits.leasesCheckedAt = now;
  const { coordinator } = limits;
  adoptListRevision(coordinator, membership.list.revision, (id) => isCoordinator(core, id), now);
  if (limits.buckets.size === 0 && coordinator.limits.size === 0) return;
  if (hasPeerOnOtherList(core, now)) pauseGrants(coordinator, now);
  const dueRequests = takeDueLeaseRequests(
    limits,
    table.view.limits,
    countLiveVms(membership),
    now,
  );
  dueRequests.forEach((request) => requestLease(core, request, now, actions));
}
