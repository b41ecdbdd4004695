import { nextInteger, type Random } from '../shared/index.js';
import type { Vm } from '../types/index.js';
import { distanceTo, hasFailed, listPeers } from './queries.js';
import type { Distance, MembershipState } from './state.js';

/** How much likelier a near peer is called than one as far as can be. */
const AFFINITY: Readonly<Record<Distance, number>> = { zone: 3, region: 2, far: 1 };

const DISTANCES = ['zone', 'region', 'far'] as const;

/** A peer out of reach is called only once in so many of its turns. */
const RETRY_ONE_IN = 2;

function shuffle(ids: string[], random: Random): string[] {
  for (let at = ids.length - 1; at > 0; at -= 1) {
    const other = nextInteger(random, at + 1);
    [ids[at], ids[other]] = [ids[other]!, ids[at]!];
  }
  return ids;
}

function chooseDistance(groups: ReadonlyMap<Distance, readonly Vm[]>, random: Random): Distance {
  const weights = DISTANCES.map((d) => (groups.get(d)?.length ?? 0) * AFFINITY[d]);
  let left = random.next() * weights.reduce((sum, weight) => sum + weight, 0);
  const index = weights.findIndex((weight) => {
    left -= weight;
    return left < 0;
  });
  return DISTANCES[Math.max(0, index)]!;
}

function takeTurn(
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

function takeDoubted(state: MembershipState): Vm | undefined {
  const [id] = state.doubted;
  if (id === undefined) return undefined;
  state.doubted.delete(id);
  return listPeers(state).find((vm) => vm.id === id);
}

/**
 * Chooses the peer to call next: one that did not answer its last call, so that a lost message
 * is soon told from a lost VM, else the one whose turn it is. Each has its turn before any has a second one at the same
 * distance, so that the time until a peer is called again has a bound.
 */
export function choosePeer(state: MembershipState, random: Random): Vm | undefined {
  const doubted = takeDoubted(state);
  if (doubted !== undefined) return doubted;
  const groups = groupByDistance(state);
  if (groups.size === 0) return undefined;
  const distance = chooseDistance(groups, random);
  const peers = groups.get(distance) ?? [];
  for (let tries = 0; tries < peers.length; tries += 1) {
    const vm = takeTurn(state, distance, peers, random);
    if (vm === undefined) continue;
    if (!hasFailed(state.members.get(vm.id))) return vm;
    if (nextInteger(random, RETRY_ONE_IN) === 0) return vm;
  }
  return peers[0];
}
