import { listLiveVms, type ListsCall, type ListsReply, type VmList } from '../types/index.js';
import { hasJoined, holdMs, listLists, listWitnesses, quorumOf } from './queries.js';
import type { ClaimState, EarlierList } from './state.js';

function addEarlier(state: ClaimState, list: VmList, now: number): boolean {
  if (list.revision <= state.settledRevision) return false;
  if (state.earlier.some((known) => known.list.revision === list.revision)) return false;
  const leftBy = new Map([[state.selfId, now]]);
  state.earlier.push({ list, leftBy, settledAt: null });
  state.earlier.sort((a, b) => a.list.revision - b.list.revision);
  return true;
}

/** Takes in a published list, from the platform or from a peer; true when it was news. */
export function adoptList(state: ClaimState, list: VmList, now: number): boolean {
  const { list: current } = state;
  if (current === null) {
    state.list = list;
    return true;
  }
  if (list.revision === current.revision) return false;
  if (list.revision < current.revision) return addEarlier(state, list, now);
  addEarlier(state, current, now);
  state.list = list;
  return true;
}

/** Answers a peer that tells which lists it knows. */
export function answerLists(state: ClaimState, { revisions }: ListsCall, now: number): ListsReply {
  const known = new Set(revisions);
  return {
    hasJoined: hasJoined(state, now),
    revision: state.list?.revision ?? -1,
    lists: listLists(state).filter((list) => !known.has(list.revision)),
  };
}

/**
 * Takes in a peer's lists: what it knew of earlier lists, and which it is on. That a peer
 * has left a list counts only together with all lists that it has seen since.
 */
export function takeLists(
  state: ClaimState,
  peerId: string,
  reply: ListsReply,
  now: number,
): boolean {
  const before = state.list?.revision ?? -1;
  const oldest = state.enforced.has('hand-over') ? -1 : reply.revision;
  const taken = reply.lists.filter((list) => list.revision >= oldest);
  taken.forEach((list) => adoptList(state, list, now));
  if (!reply.hasJoined) return before !== (state.list?.revision ?? -1);
  state.hasJoined = true;
  state.earlier
    .filter(({ list, leftBy }) => list.revision < reply.revision && !leftBy.has(peerId))
    .forEach(({ leftBy }) => leftBy.set(peerId, now));
  return before !== (state.list?.revision ?? -1);
}

// Whichever witnesses a key has, at most a minority can be among the VMs not known to be
// beyond the list: either they are few, or they lie in few zones of each region.
function isLeftByMost(state: ClaimState, { list, leftBy }: EarlierList): boolean {
  const live = listLiveVms(list);
  const regions = new Set(live.map((vm) => vm.region));
  return [...regions].every((region) => {
    const near = live.filter((vm) => vm.region === region);
    const witnesses = listWitnesses(list, '', region, state.settings.witnesses).length;
    const mostMissing = quorumOf(state, witnesses) - 1;
    const missing = near.filter((vm) => !leftBy.has(vm.id));
    if (missing.length <= mostMissing) return true;
    const zones = new Set(near.map((vm) => vm.zone)).size;
    const missingZones = new Set(missing.map((vm) => vm.zone)).size;
    return zones >= witnesses && missingZones <= mostMissing;
  });
}

/** Forgets the oldest lists once no key that is still alive can be claimed under them. */
export function settleLists(state: ClaimState, now: number): void {
  const { skewMs } = state.settings;
  for (const earlier of [...state.earlier]) {
    if (!isLeftByMost(state, earlier)) return;
    earlier.settledAt ??= now;
    if (now - earlier.settledAt < holdMs(state) + 2 * skewMs) return;
    state.earlier.shift();
    state.settledRevision = earlier.list.revision;
  }
}
