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

import {
  copyClaimState,
  ISSUED_AT_MS,
  createVmState,
  type Message,
  type Situation,
  type World,
} from './world.js';

const KEY = 'key-1';

/** A transition from one state of the search to the next. */
export interface Move {
  readonly name: string;
  apply(): World;
}

function withVm(world: World, id: string, state: ClaimState): World {
  return { ...world, vms: new Map(world.vms).set(id, state) };
}

function withoutMessage(world: World, message: Message): World {
  return { ...world, messages: world.messages.filter((other) => other !== message) };
}

// A VM handles messages to itself at once; all others are put in flight.
function send(world: World, hostId: string, messages: readonly Message[]): World {
  const own = messages.filter((message) => message.to === hostId);
  const others = messages.filter((message) => message.to !== hostId);
  const sent = { ...world, messages: [...world.messages, ...others] };
  // eslint-disable-next-line @typescript-eslint/no-use-before-define -- mutual recursion
  return own.reduce<World>((next, message) => deliver(next, message), sent);
}

// Carries out the step that the claimant returned: dispatch, wait, ask witnesses or release.
function executeStep(world: World, hostId: string, attemptId: string, step: ClaimStep): World {
  const state = world.vms.get(hostId)!;
  if (step.kind === 'won') return { ...world, runs: world.runs + 1 };
  if (step.kind === 'wait') return world;
  if (step.kind === 'ask') {
    const call = buildClaimCall(state.claims.get(attemptId)!);
    const calls = step.vms.map(({ id }): Message => ({ kind: 'call', to: id, call }));
    return send(world, hostId, calls);
  }
  const releases = step.release.map(({ id }): Message => ({ kind: 'release', to: id, attemptId }));
  return send(world, hostId, releases);
}

function beginAttempt(world: World, situation: Situation, hostId: string): World {
  const attemptId = `attempt-${world.hosts.length}`;
  const state = copyClaimState(world.vms.get(hostId)!);
  const claimed = {
    key: KEY,
    region: 'region-1',
    issuedAt: situation.hasIssueTime ? ISSUED_AT_MS : null,
    attemptId,
    claimant: hostId,
    endpointId: 'engine-1',
    streamId: attemptId,
    fingerprint: 'body',
  };
  const step = beginClaim(state, claimed, world.now);
  const begun = withVm({ ...world, hosts: [...world.hosts, hostId] }, hostId, state);
  return executeStep(begun, hostId, attemptId, step);
}

function receiveReply(world: World, message: Extract<Message, { kind: 'reply' }>): World {
  const { to, from, call, reply } = message;
  const state = copyClaimState(world.vms.get(to)!);
  const step = handleClaimReply(state, call, from, reply, world.now);
  return executeStep(withVm(world, to, state), to, call.attemptId, step);
}

function isAwaited(world: World, { call, to }: Extract<Message, { kind: 'reply' }>): boolean {
  return world.vms.get(to)!.claims.has(call.attemptId);
}

function deliver(world: World, message: Message): World {
  const rest = withoutMessage(world, message);
  if (message.kind === 'reply') return receiveReply(rest, message);
  const state = copyClaimState(world.vms.get(message.to)!);
  const next = withVm(rest, message.to, state);
  if (message.kind === 'release') {
    releaseGrant(state, { method: 'release', key: KEY, attemptId: message.attemptId });
    return next;
  }
  const { call } = message;
  const reply = answerClaim(state, call, world.now);
  const answer = { kind: 'reply', to: call.claimant, from: message.to, call, reply } as const;
  if (message.to === call.claimant) return receiveReply(next, answer);
  return { ...next, messages: [...next.messages, answer] };
}

// Fails every call of an attempt that still awaits its reply.
function timeOutReplies(world: World, hostId: string, attemptId: string): World {
  const state = copyClaimState(world.vms.get(hostId)!);
  const claim = state.claims.get(attemptId)!;
  const call = buildClaimCall(claim);
  let step: ClaimStep = { kind: 'wait' };
  for (const id of [...claim.askedWitnesses]) {
    if (claim.granted.has(id) || claim.notGranting.has(id)) continue;
    step = handleClaimFailure(state, call, id, world.now);
    if (step.kind !== 'wait') break;
  }
  return executeStep(withVm(world, hostId, state), hostId, attemptId, step);
}

function listTimeouts(world: World): Move[] {
  return [...world.vms].flatMap(([hostId, state]) =>
    [...state.claims.keys()].map((attemptId) => ({
      name: `${hostId} stops waiting for the replies to ${attemptId}`,
      apply: () => timeOutReplies(world, hostId, attemptId),
    })),
  );
}

function listAdoptions(world: World, situation: Situation): Move[] {
  return [...world.vms].flatMap(([id, state]) =>
    situation.lists
      .filter((list) => list.revision > state.list!.revision)
      .map((list) => ({
        name: `${id} adopts list ${list.revision}`,
        apply: () => {
          const copy = copyClaimState(state);
          adoptClaimList(copy, list, world.now);
          return withVm(world, id, copy);
        },
      })),
  );
}

// Merging the lists of a peer that would change nothing is not a move.
function isMergeUseful(state: ClaimState, peerId: string, peer: ClaimState): boolean {
  if (!peer.hasJoined) return false;
  if (!state.hasJoined) return true;
  const known = new Set(listClaimLists(state).map((list) => list.revision));
  if (listClaimLists(peer).some((list) => !known.has(list.revision))) return true;
  const { revision } = peer.list!;
  return state.earlierLists.some(
    ({ list, leftBy }) => list.revision < revision && !leftBy.has(peerId),
  );
}

// A VM asks its peers for lists after a start, and as long as it keeps earlier lists.
function listHandOvers(world: World): Move[] {
  return [...world.vms].flatMap(([id, state]) => {
    const listed = [...state.list!.vms, ...state.earlierLists.flatMap(({ list }) => list.vms)];
    const peers = [...new Set(listed.map((vm) => vm.id))].filter(
      (other) => other !== id && isMergeUseful(state, other, world.vms.get(other)!),
    );
    return peers.map((peerId) => ({
      name: `${id} merges the lists of ${peerId}`,
      apply: () => {
        const copy = copyClaimState(state);
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
  // A VM that restarts on an older list than before is a documented gap and not searched.
  return [...world.vms].flatMap(([id, before]) =>
    situation.lists
      .filter((list) => list.revision >= before.list!.revision)
      .map((list) => ({
        name: `${id} restarts and reads list ${list.revision}`,
        apply: () => {
          const state = createVmState(situation, id, list, world.now, rules);
          return withVm({ ...world, restartsLeft: world.restartsLeft - 1 }, id, state);
        },
      })),
  );
}

function listAttempts(world: World, situation: Situation): Move[] {
  if (world.now < ISSUED_AT_MS || world.hosts.length >= situation.attempts) return [];
  const { windowMs } = situation.settings;
  // Callers resend a key within the window only. A key with an issue time is refused after it,
  // so only keys without one need this bound.
  if (!situation.hasIssueTime && world.now > ISSUED_AT_MS + windowMs) return [];
  return situation.hosts.map((hostId) => ({
    name: `a caller sends the key to ${hostId}`,
    apply: () => beginAttempt(world, situation, hostId),
  }));
}

// A reply that no claim awaits changes nothing; dropping it keeps the number of states small.
function dropUnawaitedReplies(world: World): World {
  const messages = world.messages.filter(
    (message) => message.kind !== 'reply' || isAwaited(world, message),
  );
  return messages.length === world.messages.length ? world : { ...world, messages };
}

// Runs, open claims and attempts not yet begun add up to the most runs still possible.
function isSecondRunImpossible(world: World, situation: Situation): boolean {
  const open = [...world.vms.values()].reduce((sum, state) => sum + state.claims.size, 0);
  return world.runs + open + (situation.attempts - world.hosts.length) <= 1;
}

/** Lists the moves that are possible next; none once a second run is impossible. */
export function listMoves(
  world: World,
  situation: Situation,
  rules: ReadonlySet<ClaimRule>,
): Move[] {
  if (isSecondRunImpossible(world, situation)) return [];
  const deliveries = world.messages.map((message) => ({
    name: `${message.kind} reaches ${message.to}`,
    apply: () => deliver(world, message),
  }));
  const nextInstant = situation.instants.find((instant) => instant > world.now);
  const time: Move[] =
    nextInstant === undefined
      ? []
      : [
          {
            name: `the clock reaches ${nextInstant} ms`,
            apply: () => ({ ...world, now: nextInstant }),
          },
        ];
  const moves = [
    ...deliveries,
    ...listAttempts(world, situation),
    ...listTimeouts(world),
    ...listAdoptions(world, situation),
    ...listHandOvers(world),
    ...listRestarts(world, situation, rules),
    ...time,
  ];
  return moves.map(({ name, apply }) => ({ name, apply: () => dropUnawaitedReplies(apply()) }));
}
