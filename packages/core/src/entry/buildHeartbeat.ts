import { listClassLoads } from '../admission/index.js';
import { listMemberUpdates, ownPeerUrl, ownVmState } from '../membership/index.js';
import { takeCrashReports } from '../suspects/index.js';
import { tableDigest, tableRevision } from '../table/index.js';
import type { ClassLoad, Heartbeat } from '../types/index.js';
import type { Core } from './core.js';

/** Class loads in one heartbeat; bounds its size. */
const MAX_CLASS_LOADS = 32;

function listActiveLoads(core: Core, now: number): ClassLoad[] {
  return listClassLoads(core.admission, now)
    .filter((load) => load.waiting > 0 || load.servedTokensPerSecond > 0)
    .slice(0, MAX_CLASS_LOADS);
}

/** Says whether a peer has a VM list, in which it finds this VM's address. */
function hasVmList({ membership }: Core, peerId: string): boolean {
  return (membership.members.get(peerId)?.heartbeat?.listRevision ?? -1) >= 0;
}

/** Builds a heartbeat for a peer; its size does not grow with the fleet. */
export function buildHeartbeat(core: Core, peerId: string, now: number): Heartbeat {
  const { membership, table } = core;
  membership.sequence += 1;
  return {
    from: membership.self.id,
    ...(hasVmList(core, peerId) ? {} : { peerUrl: ownPeerUrl(membership) }),
    incarnation: membership.incarnation,
    sequence: membership.sequence,
    state: ownVmState(membership),
    listRevision: membership.list?.revision ?? -1,
    tableRevision: tableRevision(table),
    manifestDigest: tableDigest(table),
    positions: [],
    loads: listActiveLoads(core, now),
    suspects: takeCrashReports(core.suspects),
    members: listMemberUpdates(membership, now),
  };
}
