import { randomInteger, type Random } from '../shared/index.js';
import type { Vm } from '../types/index.js';
import { distanceTo, hasFailingCalls, listPeers } from './queries.js';
import type { Distance, MembershipState } from './state.js';

/** Relative probability that a peer at each distance is called. */
const DISTANCE_WEIGHTS: Readonly<Record<Distance, number>> = { zone: 3, region: 2, far: 1 };

const DISTANCES = ['zone', 'region', 'far'] as const;

/** A peer whose calls fail is called, on average, in one of this many of its turns. */
const TURNS_PER_CALL_TO_FAILING_PEER = 2;

function shuffle(ids: string[], random: Random): string[] {
  for (let at = ids.length - 1; at > 0; at -= 1) {
    const other = randomInteger(random, at + 1);
    [ids[at], ids[other]] = [ids[other]!, ids[at]!];
  }
  return ids;
}

function chooseDistance(groups: ReadonlyMap<Distance, readonly Vm[]>, random: Random): Distance {
  const weights = DISTANCES.map((d) => (groups.get(d)?.length ?? 0) * DISTANCE_WEIGHTS[d]);
  let remainingWeight = random.next() * weights.reduce((sum, weight) => sum + weight, 0);
  const index = weights.findIndex((weight) => {
    remainingWeight -= weight;
    return remainingWeight < 0;
  });
  return DISTANCES[Math.max(0, index)]!;
}

function takeNextInRound(
  state: MembershipState,
  distance: Distance,
  peers: readonly Vm[],
  random: Random,
) {
  let round = state.rounds.get(distance) ?? [];
  if (round.length === 0) {
    round = shuffle(
      peers.map((vm) => vm.id),
      random,
    );
    state.rounds.set(distance, round);
  }
  const id = round.pop();
  return peers.find((vm) => vm.id === id);
}

function groupByDistance(state: MembershipState): Map<Distance, Vm[]> {
  const groups = new Map<Distance, Vm[]>();
  for (const vm of listPeers(state)) {
    const distance = distanceTo(state, vm);
    const group = groups.get(distance) ?? [];
    group.push(vm);
    groups.set(distance, group);
  }
  return groups;
}

function takePeerToRetry(state: MembershipState): Vm | undefined {
  const [id] = state.peersToRetry;
  if (id === undefined) return undefined;
  state.peersToRetry.delete(id);
  return listPeers(state).find((vm) => vm.id === id);
}

/**
 * Chooses the peer to call next; undefined when no other VM is listed. A peer that did not answer
 * its last call is retried first, to tell a lost message from a lost VM early. Otherwise a distance
 * is drawn by weight, and its peers take turns in random order: each is called once a round, which
 * bounds the time until a peer is called again.
 */
export function choosePeer(state: MembershipState, random: Random): Vm | undefined {
  const peerToRetry = takePeerToRetry(state);
  if (peerToRetry !== undefined) return peerToRetry;
  const groups = groupByDistance(state);
  if (groups.size === 0) return undefined;
  const distance = chooseDistance(groups, random);
  const peers = groups.get(distance) ?? [];
  for (let turns = 0; turns < peers.length; turns += 1) {
    const vm = takeNextInRound(state, distance, peers, random);
    if (vm === undefined) continue;
    if (!hasFailingCalls(state.members.get(vm.id))) return vm;
    if (randomInteger(random, TURNS_PER_CALL_TO_FAILING_PEER) === 0) return vm;
  }
  return peers[0];
}
