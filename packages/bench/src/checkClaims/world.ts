import {
  createClaimState,
  type ClaimCall,
  type ClaimReply,
  type ClaimRule,
  type ClaimSettings,
  type ClaimState,
  type VmList,
} from '@filbertlatch/core';

/** A message in flight; it may arrive at any later time, or never. */
export type Message =
  | { readonly kind: 'call'; readonly to: string; readonly call: ClaimCall }
  | {
      readonly kind: 'reply';
      readonly to: string;
      readonly from: string;
      readonly call: ClaimCall;
      readonly reply: ClaimReply;
    }
  | { readonly kind: 'release'; readonly to: string; readonly attemptId: string };

/** One case to search: VM lists, hosts of attempts, and bounds on attempts and restarts. */
export interface Situation {
  readonly name: string;
  /** Published VM lists, oldest first; a VM adopts each at any time, or skips it. */
  readonly lists: readonly VmList[];
  /** Ids of the VMs that may receive the caller's attempts. */
  readonly hosts: readonly string[];
  /** Maximum number of attempts with the key. */
  readonly attempts: number;
  /** Maximum number of VM restarts. */
  readonly restarts: number;
  /** Whether the key tells when it was issued. */
  readonly hasIssueTime: boolean;
  readonly settings: ClaimSettings;
  /** Values of the model clock in ms, ascending; the key is issued at ISSUED_AT_MS. */
  readonly instants: readonly number[];
}

/** State of the whole modelled fleet; moves copy what they change. */
export interface World {
  /** Model clock, in ms. */
  readonly now: number;
  readonly vms: ReadonlyMap<string, ClaimState>;
  readonly messages: readonly Message[];
  /** Id of the VM that hosts each attempt begun, by attempt number. */
  readonly hosts: readonly string[];
  readonly restartsLeft: number;
  /** Number of attempts dispatched; more than one is a violation. */
  readonly runs: number;
}

/** Time on the model clock at which the key is issued. */
export const ISSUED_AT_MS = 50;

// Start time of the VMs of the first list: long before any key is issued.
const LONG_BEFORE_MS = -1000;

/** Claim settings of the model; `startWaitMs` never elapses, so a started VM waits for a peer. */
export const modelSettings: ClaimSettings = {
  witnesses: 3,
  windowMs: 100,
  skewMs: 1,
  startWaitMs: 1_000_000,
};

/** Builds a published list of VMs, each in a zone of its own. */
export function buildVmList(revision: number, ids: readonly string[]): VmList {
  const vms = ids.map((id) => ({
    id,
    peerUrl: `http://${id}`,
    zone: `zone-${id}`,
    region: 'region-1',
    state: 'live' as const,
  }));
  return { revision, vms, leavingEndpoints: [] };
}

/** Creates the claim state of a VM that started at `now` with a list from the platform. */
export function createVmState(
  situation: Situation,
  id: string,
  list: VmList,
  now: number,
  enforced: ReadonlySet<ClaimRule>,
): ClaimState {
  const state = createClaimState(id, situation.settings, now, enforced);
  state.list = list;
  return state;
}

/** Creates the initial state: the VMs of the first list have joined, and no key is issued yet. */
export function createWorld(situation: Situation, enforced: ReadonlySet<ClaimRule>): World {
  const first = situation.lists[0]!;
  const vms = new Map<string, ClaimState>();
  for (const { id } of first.vms) {
    const state = createVmState(situation, id, first, LONG_BEFORE_MS, enforced);
    state.hasJoined = true;
    vms.set(id, state);
  }
  for (const list of situation.lists) {
    for (const { id } of list.vms) {
      if (vms.has(id)) continue;
      vms.set(id, createVmState(situation, id, list, 0, enforced));
    }
  }
  return {
    now: situation.instants[0]!,
    vms,
    messages: [],
    hosts: [],
    restartsLeft: situation.restarts,
    runs: 0,
  };
}

/** Copies the claim state of one VM, so that a move can change the copy. */
export function copyClaimState(state: ClaimState): ClaimState {
  const claims = [...state.claims].map(([id, claim]) => {
    const { askedWitnesses: asked, granted, notGranting: missing, holders } = claim;
    const copy = {
      ...claim,
      askedWitnesses: new Set(asked),
      granted: new Set(granted),
      notGranting: new Set(missing),
      holders: [...holders],
    };
    return [id, copy] as const;
  });
  return {
    ...state,
    earlierLists: state.earlierLists.map((earlier) => ({
      ...earlier,
      leftBy: new Map(earlier.leftBy),
    })),
    grants: new Map(state.grants),
    claims: new Map(claims),
    wonAtByAttempt: new Map(),
  };
}

function describeState(state: ClaimState): string {
  const earlier = state.earlierLists.map(
    ({ list, leftBy }) => `${list.revision}:${[...leftBy].sort().join()}`,
  );
  const grants = [...state.grants.values()].map((g) => `${g.attemptId}@${g.grantedAt}`);
  const claims = [...state.claims.values()].map((claim) =>
    [
      claim.attemptId,
      claim.startedAt,
      claim.listRevision,
      claim.restarts,
      [...claim.askedWitnesses].sort(),
      [...claim.granted].sort().join(),
      [...claim.notGranting].sort(),
      claim.holders.map((holder) => holder.attemptId).sort(),
    ].join(';'),
  );
  const head = [state.startedAt, state.hasJoined, state.list?.revision];
  return [head, earlier, grants, claims].join('|');
}

function describeReply(reply: ClaimReply): string {
  if (reply.kind === 'granted') return reply.kind;
  if (reply.kind === 'held') return reply.holder.attemptId;
  return reply.reason + reply.lists.map((list) => list.revision).join();
}

function describeMessage(message: Message): string {
  if (message.kind === 'release') return `x${message.to}${message.attemptId}`;
  const { call } = message;
  const head = `${message.to}${call.attemptId}${call.listRevision}`;
  if (message.kind === 'call') return `c${head}`;
  const { reply } = message;
  return `r${head}${message.from}${describeReply(reply)}`;
}

// Caches by object: states and messages do not change once a move has created them.
function memoize<T extends object>(describe: (value: T) => string): (value: T) => string {
  const known = new WeakMap<T, string>();
  return (value) => {
    let text = known.get(value);
    if (text === undefined) {
      text = describe(value);
      known.set(value, text);
    }
    return text;
  };
}

const describeStateOnce = memoize(describeState);
const describeMessageOnce = memoize(describeMessage);

/** Describes a state as text; equal states have equal descriptions. */
export function describeWorld(world: World): string {
  const vms = [...world.vms].map(([id, state]) => `${id}:${describeStateOnce(state)}`);
  const messages = world.messages.map(describeMessageOnce).sort();
  return [world.now, world.hosts, world.restartsLeft, world.runs, vms, messages].join('\n');
}
