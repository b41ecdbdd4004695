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
export type Flight =
  | { readonly kind: 'call'; readonly to: string; readonly call: ClaimCall }
  | {
      readonly kind: 'reply';
      readonly to: string;
      readonly from: string;
      readonly call: ClaimCall;
      readonly reply: ClaimReply;
    }
  | { readonly kind: 'release'; readonly to: string; readonly attemptId: string };

/** What is searched: lists, VMs, the hosts of attempts, and how much may go wrong. */
export interface Situation {
  readonly name: string;
  /** Published lists, oldest first; a VM learns each at any time, or skips it. */
  readonly lists: readonly VmList[];
  /** VMs that a caller's attempts may reach. */
  readonly hosts: readonly string[];
  readonly attempts: number;
  readonly restarts: number;
  /** False: a key that does not tell when it was issued. */
  readonly hasIssueTime: boolean;
  readonly settings: ClaimSettings;
  /** Instants that the time takes in turn; the key is issued at ISSUED_AT. */
  readonly instants: readonly number[];
}

/** One state of the search; moves copy what they change. */
export interface World {
  readonly now: number;
  readonly vms: ReadonlyMap<string, ClaimState>;
  readonly flights: readonly Flight[];
  /** Host of each attempt begun, by attempt number. */
  readonly hosts: readonly string[];
  readonly restartsLeft: number;
  /** Attempts that were dispatched. */
  readonly runs: number;
}

/** When the key of the model is issued. */
export const ISSUED_AT = 50;

const LONG_BEFORE = -1000;

/** Settings of the model; a VM that has just started waits for a peer, whatever it takes. */
export const modelSettings: ClaimSettings = {
  witnesses: 3,
  windowMs: 100,
  skewMs: 1,
  startWaitMs: 1_000_000,
};

/** Builds a published list of VMs, each in a zone of its own. */
export function buildList(revision: number, ids: readonly string[]): VmList {
  const vms = ids.map((id) => ({
    id,
    peerUrl: `http://${id}`,
    zone: `zone-${id}`,
    region: 'region-1',
    state: 'live' as const,
  }));
  return { revision, vms, leavingEndpoints: [] };
}

/** Creates a VM as it is after a start at `now`, with a list from the platform. */
export function startVm(
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

/** Creates the state in which the VMs of the first list run and no key is issued yet. */
export function createWorld(situation: Situation, enforced: ReadonlySet<ClaimRule>): World {
  const first = situation.lists[0]!;
  const vms = new Map<string, ClaimState>();
  for (const { id } of first.vms) {
    const state = startVm(situation, id, first, LONG_BEFORE, enforced);
    state.hasJoined = true;
    vms.set(id, state);
  }
  for (const list of situation.lists) {
    for (const { id } of list.vms) {
      if (vms.has(id)) continue;
      vms.set(id, startVm(situation, id, list, 0, enforced));
    }
  }
  return {
    now: situation.instants[0]!,
    vms,
    flights: [],
    hosts: [],
    restartsLeft: situation.restarts,
    runs: 0,
  };
}

/** Copies the state of one VM, so that a move may change the copy. */
export function copyState(state: ClaimState): ClaimState {
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

function describeFlight(flight: Flight): string {
  if (flight.kind === 'release') return `x${flight.to}${flight.attemptId}`;
  const { call } = flight;
  const head = `${flight.to}${call.attemptId}${call.listRevision}`;
  if (flight.kind === 'call') return `c${head}`;
  const { reply } = flight;
  return `r${head}${flight.from}${describeReply(reply)}`;
}

// States and flights are never changed once a move has made them.
function remember<T extends object>(describe: (value: T) => string): (value: T) => string {
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

const recallState = remember(describeState);
const recallFlight = remember(describeFlight);

/** Describes a state so that equal states have equal descriptions. */
export function describeWorld(world: World): string {
  const vms = [...world.vms].map(([id, state]) => `${id}:${recallState(state)}`);
  const flights = world.flights.map(recallFlight).sort();
  return [world.now, world.hosts, world.restartsLeft, world.runs, vms, flights].join('\n');
}
