import {
  choosePeer,
  findVm,
  forgetMembers,
  completeRecheckPart,
  mergeMemberUpdates,
  recordPeerAnswer,
  recordHeartbeat,
  recordCallFailure,
} from '../membership/index.js';
import { recordPeerCrashes } from '../suspects/index.js';
import { isWorthFetching, recordConflict } from '../table/index.js';
import type { Heartbeat, Vm } from '../types/index.js';
import type { Action } from './action.js';
import { buildHeartbeat } from './buildHeartbeat.js';
import { nextId, type Core } from './core.js';
import { increment } from './counters.js';

/** Mean interval between two heartbeats of this VM, whatever the size of the fleet. */
const HEARTBEAT_INTERVAL_MS = 400;

/** Largest random deviation from the mean interval, as a fraction of it. */
const JITTER_FRACTION = 0.25;

/** Minimum interval between two fetches of a newer manifest from peers. */
const MIN_MANIFEST_FETCH_INTERVAL_MS = 500;

/** Minimum interval between two fetches of a newer VM list, before a random factor of 1 to 2. */
const MIN_LIST_FETCH_INTERVAL_MS = 3000;

/** Returns the sender's VM; before a VM list is known, one built from its own address. */
function findSender({ membership }: Core, { from, peerUrl }: Heartbeat): Vm | null {
  const listed = findVm(membership, from);
  if (listed !== undefined) return listed;
  if (membership.list !== null || peerUrl === undefined) return null;
  return { id: from, peerUrl, zone: '', region: '', state: 'live' };
}

/** Fetches the sender's table or VM list if newer, and reports a conflict of table contents. */
function fetchNewerRevisions(
  core: Core,
  heartbeat: Heartbeat,
  now: number,
  actions: Action[],
): void {
  const { membership, table } = core;
  const peer = findSender(core, heartbeat);
  const isTableOld = isWorthFetching(table, heartbeat.tableRevision, now);
  if (isTableOld && peer !== null && now >= table.nextManifestFetchAt) {
    table.nextManifestFetchAt = now + MIN_MANIFEST_FETCH_INTERVAL_MS;
    actions.push({ kind: 'fetch-manifest', peer });
  }
  const { tableRevision: revision, manifestDigest: digest } = heartbeat;
  if (recordConflict(table, revision, digest)) {
    increment(core, 'table_conflicts');
    const fields = { revision, peer: heartbeat.from };
    actions.push({ kind: 'state-changed', level: 'error', code: 'table_conflict', fields });
  }
  const isListOld = heartbeat.listRevision > (membership.list?.revision ?? -1);
  if (isListOld && now >= membership.nextListFetchAt) {
    membership.nextListFetchAt = now + MIN_LIST_FETCH_INTERVAL_MS * (1 + core.random.next());
    actions.push({ kind: 'fetch-list', peer });
  }
}

function processHeartbeat(core: Core, heartbeat: Heartbeat, now: number, actions: Action[]): void {
  if (!recordHeartbeat(core.membership, heartbeat, now)) return;
  recordPeerCrashes(core.suspects, heartbeat.suspects, now);
  mergeMemberUpdates(core.membership, heartbeat.members, now);
  fetchNewerRevisions(core, heartbeat, now, actions);
}

/** Processes a peer's heartbeat and replies with this VM's own. */
export function onHeartbeatCalled(
  core: Core,
  callId: string,
  heartbeat: Heartbeat,
  now: number,
  actions: Action[],
): void {
  processHeartbeat(core, heartbeat, now, actions);
  const reply = { heartbeat: buildHeartbeat(core, heartbeat.from, now) };
  actions.push({ kind: 'reply-peer', callId, reply });
}

/** Processes the heartbeat in a peer's answer. */
export function onHeartbeatReplied(
  core: Core,
  peerId: string,
  heartbeat: Heartbeat,
  now: number,
  actions: Action[],
): void {
  recordPeerAnswer(core.membership, peerId, now);
  completeRecheckPart(core.membership, 'peer');
  processHeartbeat(core, heartbeat, now, actions);
}

/** Records that a peer did not answer a heartbeat. */
export function onHeartbeatFailed(
  core: Core,
  peerId: string,
  now: number,
  actions: Action[],
): void {
  completeRecheckPart(core.membership, 'peer');
  if (!recordCallFailure(core.membership, peerId, now)) return;
  increment(core, 'peers_lost');
  const fields = { peer: peerId };
  actions.push({ kind: 'state-changed', level: 'warn', code: 'peer_unreachable', fields });
}

/** Sends a heartbeat to the next peer, if there is one. */
export function sendHeartbeat(core: Core, now: number, actions: Action[]): void {
  const peer = choosePeer(core.membership, core.random);
  if (peer === undefined) return;
  increment(core, 'heartbeats');
  const call = { method: 'heartbeat', heartbeat: buildHeartbeat(core, peer.id, now) } as const;
  actions.push({ kind: 'call-peer', callId: nextId(core, 'h'), peer, call });
}

/** Sends a heartbeat when one is due and removes members that are gone. */
export function sendDueHeartbeat(core: Core, now: number, actions: Action[]): void {
  const { membership } = core;
  if (now < membership.nextHeartbeatAt) return;
  const jitterFactor = 1 + JITTER_FRACTION * (2 * core.random.next() - 1);
  membership.nextHeartbeatAt = now + HEARTBEAT_INTERVAL_MS * jitterFactor;
  forgetMembers(membership, now);
  sendHeartbeat(core, now, actions);
}
