import { listLiveVms, type ListsCall, type ListsReply, type VmList } from '../types/index.js';
import {
  hasJoined,
  grantRetentionMs,
  listClaimLists,
  selectWitnesses,
  quorumSize,
} from './queries.js';
import type { ClaimState, EarlierList } from './state.js';

function addEarlierList(state: ClaimState, list: VmList, now: number): boolean {
  if (list.revision <= state.retiredRevision) return false;
  if (state.earlierLists.some((known) => known.list.revision === list.revision)) return false;
  const leftBy = new Map([[state.selfId, now]]);
  state.earlierLists.push({ list, leftBy, supersededAt: null });
  state.earlierLists.sort((a, b) => a.list.revision - b.list.revision);
  return true;
}

/**
 * Adopts a published VM list, from the platform or from a peer; true when it was not known. A list
 * older than the current one is added to the earlier lists.
 */
export function adoptClaimList(state: ClaimState, list: VmList, now: number): boolean {
  const { list: current } = state;
  if (current === null) {
    state.list = list;
    return true;
  }
  if (list.revision === current.revision) return false;
  if (list.revision < current.revision) return addEarlierList(state, list, now);
  addEarlierList(state, current, now);
  state.list = list;
  return true;
}

/** Answers a peer's `lists` call with the lists that the peer lacks. */
export function answerListsCall(
  state: ClaimState,
  { revisions }: ListsCall,
  now: number,
): ListsReply {
  const known = new Set(revisions);
  return {
    hasJoined: hasJoined(state, now),
    revision: state.list?.revision ?? -1,
    lists: listClaimLists(state).filter((list) => !known.has(list.revision)),
  };
}

/**
 * Merges a peer's reply to a `lists` call; true when the current list changed. A peer counts as
 * past an earlier list only once the later lists that it knows are adopted here as well.
 */
export function mergePeerLists(
  state: ClaimState,
  peerId: string,
  reply: ListsReply,
  now: number,
): boolean {
  const before = state.list?.revision ?? -1;
  const oldestAccepted = state.enforcedRules.has('hand-over') ? -1 : reply.revision;
  const accepted = reply.lists.filter((list) => list.revision >= oldestAccepted);
  accepted.forEach((list) => adoptClaimList(state, list, now));
  if (!reply.hasJoined) return before !== (state.list?.revision ?? -1);
  state.hasJoined = true;
  state.earlierLists
    .filter(({ list, leftBy }) => list.revision < reply.revision && !leftBy.has(peerId))
    .forEach(({ leftBy }) => leftBy.set(peerId, now));
  return before !== (state.list?.revision ?? -1);
}

// True when, for any key, only a minority of the witnesses can still grant under the list: the VMs
// not known to be on a later list are few, or are in few zones of each region.
function isSuperseded(state: ClaimState, { list, leftBy }: EarlierList): boolean {
  const live = listLiveVms(list);
  const regions = new Set(live.map((vm) => vm.region));
  return [...regions].every((region) => {
    const regionVms = live.filter((vm) => vm.region === region);
    const witnessCount = selectWitnesses(list, '', region, state.settings.witnesses).length;
    const maxMinority = quorumSize(state, witnessCount) - 1;
    const remaining = regionVms.filter((vm) => !leftBy.has(vm.id));
    if (remaining.length <= maxMinority) return true;
    const zones = new Set(regionVms.map((vm) => vm.zone)).size;
    const remainingZones = new Set(remaining.map((vm) => vm.zone)).size;
    return zones >= witnessCount && remainingZones <= maxMinority;
  });
}

/** Retires the oldest lists once no unexpired key can be claimed under them. */
export function retireLists(state: ClaimState, now: number): void {
  const { skewMs } = state.settings;
  for (const earlier of [...state.earlierLists]) {
    if (!isSuperseded(state, earlier)) return;
    earlier.supersededAt ??= now;
    if (now - earlier.supersededAt < grantRetentionMs(state) + 2 * skewMs) return;
    state.earlierLists.shift();
    state.retiredRevision = earlier.list.revision;
  }
}
