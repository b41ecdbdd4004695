import {
  adoptClaimList,
  answerClaim,
  answerListsCall,
  beginClaim,
  buildClaimCall,
  listClaimLists,
  releaseGrant,
  handleClaimFailure,
  handleClaimReply,
  mergePeerLists,
  type ClaimRule,
  type ClaimState,
  type ClaimStep,
} from '@filbertlatch/core';

import { copyState, ISSUED_AT, startVm, type Flight, type Situation, type World } from './world.js';

const KEY = 'key-1';

/** One thing that can happen next. */
export interface Move {
  readonly name: string;
  apply(): World;
}

function withVm(world: World, id: string, state: ClaimState): World {
  return { ...world, vms: new Map(world.vms).set(id, state) };
}

function withoutFlight(world: World, flight: Flight): World {
  return { ...world, flights: world.flights.filter((other) => other !== flight) };
}

// A VM answers its own calls at once; all others travel.
function send(world: World, hostId: string, flights: readonly Flight[]): World {
  const own = flights.filter((flight) => flight.to === hostId);
  const others = flights.filter((flight) => flight.to !== hostId);
  const sent = { ...world, flights: [...world.flights, ...others] };
  // eslint-disable-next-line @typescript-eslint/no-use-before-define -- they call each other
  return own.reduce<World>((next, flight) => deliver(next, flight), sent);
}

// Carries out what a claimant's step asks for.
function follow(world: World, hostId: string, attemptId: string, step: ClaimStep): World {
  const state = world.vms.get(hostId)!;
  if (step.kind === 'won') return { ...world, runs: world.runs + 1 };
  if (step.kind === 'wait') return world;
  if (step.kind === 'ask') {
    const call = buildClaimCall(state.claims.get(attemptId)!);
    const calls = step.vms.map(({ id }): Flight => ({ kind: 'call', to: id, call }));
    return send(world, hostId, calls);
  }
  const releases = step.release.map(({ id }): Flight => ({ kind: 'release', to: id, attemptId }));
  return send(world, hostId, releases);
}

function beginAttempt(world: World, situation: Situation, hostId: string): World {
  const attemptId = `attempt-${world.hosts.length}`;
  const state = copyState(world.vms.get(hostId)!);
  const claimed = {
    key: KEY,
    region: 'region-1',
    issuedAt: situation.hasIssueTime ? ISSUED_AT : null,
    attemptId,
    claimant: hostId,
    endpointId: 'engine-1',
    streamId: attemptId,
    fingerprint: 'body',
  };
  const step = beginClaim(state, claimed, world.now);
  const begun = withVm({ ...world, hosts: [...world.hosts, hostId] }, hostId, state);
  return follow(begun, hostId, attemptId, step);
}

function takeReply(world: World, flight: Extract<Flight, { kind: 'reply' }>): World {
  const { to, from, call, reply } = flight;
  const state = copyState(world.vms.get(to)!);
  const step = handleClaimReply(state, call, from, reply, world.now);
  return follow(withVm(world, to, state), to, call.attemptId, step);
}

function isAwaited(world: World, { call, to }: Extract<Flight, { kind: 'reply' }>): boolean {
  return world.vms.get(to)!.claims.has(call.attemptId);
}

function deliver(world: World, flight: Flight): World {
  const rest = withoutFlight(world, flight);
  if (flight.kind === 'reply') return takeReply(rest, flight);
  const state = copyState(world.vms.get(flight.to)!);
  const next = withVm(rest, flight.to, state);
  if (flight.kind === 'release') {
    releaseGrant(state, { method: 'release', key: KEY, attemptId: flight.attemptId });
    return next;
  }
  const { call } = flight;
  const reply = answerClaim(state, call, world.now);
  const answer = { kind: 'reply', to: call.claimant, from: flight.to, call, reply } as const;
  if (flight.to === call.claimant) return takeReply(next, answer);
  return { ...next, flights: [...next.flights, answer] };
}

function loseReplies(world: World, hostId: string, attemptId: string): World {
  const state = copyState(world.vms.get(hostId)!);
  const claim = state.claims.get(attemptId)!;
  const call = buildClaimCall(claim);
  let step: ClaimStep = { kind: 'wait' };
  for (const id of [...claim.askedWitnesses]) {
    if (claim.granted.has(id) || claim.notGranting.has(id)) continue;
    step = handleClaimFailure(state, call, id, world.now);
    if (step.kind !== 'wait') break;
  }
  return follow(withVm(world, hostId, state), hostId, attemptId, step);
}

function listTimeouts(world: World): Move[] {
  return [...world.vms].flatMap(([hostId, state]) =>
    [...state.claims.keys()].map((attemptId) => ({
      name: `${hostId} waits no longer for ${attemptId}`,
      apply: () => loseReplies(world, hostId, attemptId),
    })),
  );
}

function listLearning(world: World, situation: Situation): Move[] {
  return [...world.vms].flatMap(([id, state]) =>
    situation.lists
      .filter((list) => list.revision > state.list!.revision)
      .map((list) => ({
        name: `${id} learns list ${list.revision}`,
        apply: () => {
          const copy = copyState(state);
          adoptClaimList(copy, list, world.now);
          return withVm(world, id, copy);
        },
      })),
  );
}

// Taking the lists of a peer that brings nothing new is no move.
function bringsNews(state: ClaimState, peerId: string, peer: ClaimState): boolean {
  if (!peer.hasJoined) return false;
  if (!state.hasJoined) return true;
  const known = new Set(listClaimLists(state).map((list) => list.revision));
  if (listClaimLists(peer).some((list) => !known.has(list.revision))) return true;
  const { revision } = peer.list!;
  return state.earlierLists.some(
    ({ list, leftBy }) => list.revision < revision && !leftBy.has(peerId),
  );
}

// A VM asks for lists while it has just started, or while earlier lists are unsettled.
function listHandOvers(world: World): Move[] {
  return [...world.vms].flatMap(([id, state]) => {
    const listed = [...state.list!.vms, ...state.earlierLists.flatMap(({ list }) => list.vms)];
    const peers = [...new Set(listed.map((vm) => vm.id))].filter(
      (other) => other !== id && bringsNews(state, other, world.vms.get(other)!),
    );
    return peers.map((peerId) => ({
      name: `${id} takes the lists of ${peerId}`,
      apply: () => {
        const copy = copyState(state);
        const revisions = listClaimLists(state).map((list) => list.revision);
        const call = { method: 'lists', from: id, revisions } as const;
        mergePeerLists(
          copy,
          peerId,
          answerListsCall(world.vms.get(peerId)!, call, world.now),
          world.now,
        );
        return withVm(world, id, copy);
      },
    }));
  });
}

function listRestarts(world: World, situation: Situation, rules: ReadonlySet<ClaimRule>): Move[] {
  if (world.restartsLeft === 0) return [];
  // A VM that comes back on a list older than it was on is the gap that the docs name.
  return [...world.vms].flatMap(([id, before]) =>
    situation.lists
      .filter((list) => list.revision >= before.list!.revision)
      .map((list) => ({
        name: `${id} restarts and reads list ${list.revision}`,
        apply: () => {
          const state = startVm(situation, id, list, world.now, rules);
          return withVm({ ...world, restartsLeft: world.restartsLeft - 1 }, id, state);
        },
      })),
  );
}

function listAttempts(world: World, situation: Situation): Move[] {
  if (world.now < ISSUED_AT || world.hosts.length >= situation.attempts) return [];
  const { windowMs } = situation.settings;
  // Callers send a key again within the window only; a key that says so is refused later.
  if (!situation.hasIssueTime && world.now > ISSUED_AT + windowMs) return [];
  return situation.hosts.map((hostId) => ({
    name: `a caller sends the key to ${hostId}`,
    apply: () => beginAttempt(world, situation, hostId),
  }));
}

// A reply that nobody awaits any more changes nothing.
function dropUnawaited(world: World): World {
  const flights = world.flights.filter(
    (flight) => flight.kind !== 'reply' || isAwaited(world, flight),
  );
  return flights.length === world.flights.length ? world : { ...world, flights };
}

// With one attempt left that could be dispatched there can be no second run.
function isDecided(world: World, situation: Situation): boolean {
  const open = [...world.vms.values()].reduce((sum, state) => sum + state.claims.size, 0);
  return world.runs + open + (situation.attempts - world.hosts.length) <= 1;
}

/** Lists everything that can happen next, until no second run is possible. */
export function listMoves(
  world: World,
  situation: Situation,
  rules: ReadonlySet<ClaimRule>,
): Move[] {
  if (isDecided(world, situation)) return [];
  const deliveries = world.flights.map((flight) => ({
    name: `${flight.kind} reaches ${flight.to}`,
    apply: () => deliver(world, flight),
  }));
  const later = situation.instants.find((instant) => instant > world.now);
  const time: Move[] =
    later === undefined
      ? []
      : [{ name: `the time is ${later}`, apply: () => ({ ...world, now: later }) }];
  const moves = [
    ...deliveries,
    ...listAttempts(world, situation),
    ...listTimeouts(world),
    ...listLearning(world, situation),
    ...listHandOvers(world),
    ...listRestarts(world, situation, rules),
    ...time,
  ];
  return moves.map(({ name, apply }) => ({ name, apply: () => dropUnawaited(apply()) }));
}
