import {
  createRandom,
  createRequestLimitState,
  createRequestPermits,
  divideRequestLimits,
  listArrivals,
  randomInteger,
  recordLimitedSend,
  recordNamedLimit,
  recordPeerArrivals,
  recordPeerLimits,
  recordPeerSends,
  recordServiceArrival,
  recordUnlimitedAnswer,
  takeLimitReports,
  takeSendReports,
  type Random,
  type RequestLimitState,
} from '../../src/index.js';

const STEP_MS = 10;
const GOSSIP_MS = 100;

/** Most peers that one gossip round reaches. */
const FANOUT = 16;

const MS_PER_SECOND = 1000;

/** Rule that the fleet must keep, from some time after the limit began. */
const SETTLE_MS = 3000;
const WINDOW_MS = 4000;
const LIMIT_FACTOR = 1.5;
const LIMIT_SLACK = 5;
const TOLD_MS = 500;

/** A fleet that shares the limit of one endpoint, in simulated time. */
export interface LimitedFleet {
  readonly seed: number;
  readonly vms: number;
  /** Limit at a time, in milliseconds; null for none. */
  readonly limitAt: (at: number) => number | null;
  /** Requests a second over all VMs. */
  readonly requestsPerSecond: (at: number) => number;
  /** Relative part of the requests that a VM gets at a time. */
  readonly weightOf: (vm: number, at: number) => number;
  /** Whether a message between two VMs arrives. */
  readonly isHeard: (from: number, to: number, at: number, random: Random) => boolean;
  /** Whether a VM loses all that it knows at a time. */
  readonly restartsAt?: (vm: number, at: number) => boolean;
  /** Whether the rule excuses a VM at a time. */
  readonly isExcused?: (vm: number, at: number) => boolean;
  readonly lengthMs: number;
}

/** What an endpoint got. */
export interface LimitedFleetOutcome {
  /** Largest number of arrivals in a window beyond those allowed. */
  readonly excess: number;
  /**
   * Arrivals divided by what the limit that the endpoint named last allows, from `SETTLE_MS` after
   * its begin on. A higher limit is not known before the next answer.
   */
  readonly use: number;
}

interface Arrival {
  readonly at: number;
  /** Whether the rule counts it: its VM was told in time and is not excused. */
  readonly isCounted: boolean;
}

interface Vm {
  state: RequestLimitState;
  toldAt: number | null;
}

const ENDPOINT = 'e1';
const SERVICE = 's1';

/** Time from a request's arrival at the endpoint to its answer at the VM. */
const ANSWER_MS = 30;

function exchangeMessages(fleet: LimitedFleet, vms: readonly Vm[], at: number, random: Random) {
  const messages = vms.map(({ state }) => ({
    limits: takeLimitReports(state, at),
    sends: takeSendReports(state),
    perSecond: listArrivals(state, at),
  }));
  messages.forEach(({ limits, sends, perSecond }, from) => {
    const first = randomInteger(random, vms.length);
    const count = Math.min(FANOUT, vms.length - 1);
    for (let step = 0; step < count; step += 1) {
      const to = (first + step) % vms.length;
      const { state } = vms[to]!;
      const id = `vm-${from}`;
      if (to !== from && fleet.isHeard(from, to, at, random)) {
        recordPeerArrivals(state, id, { heardAt: at, isLeaving: false, perSecond });
        recordPeerSends(state, sends, at);
        recordPeerLimits(state, id, limits, at);
      }
    }
  });
}

function chooseVm({ weightOf, vms }: LimitedFleet, at: number, random: Random): number {
  const weights = Array.from({ length: vms }, (_, vm) => weightOf(vm, at));
  let left = random.next() * weights.reduce((sum, weight) => sum + weight, 0);
  const chosen = weights.findIndex((weight) => {
    left -= weight;
    return left < 0;
  });
  return Math.max(0, chosen);
}

interface Play {
  readonly arrivals: readonly Arrival[];
  /** What the endpoint named last at each step; null for no limit. */
  readonly namedLimits: readonly (number | null)[];
}

/** Plays a fleet all of whose requests go to the endpoint when its limit permits it. */
function playRequests(fleet: LimitedFleet): Play {
  const random = createRandom(fleet.seed);
  const createVm = (vm: number): Vm => ({
    state: createRequestLimitState(`vm-${vm}`),
    toldAt: null,
  });
  const vms = Array.from({ length: fleet.vms }, (_, vm) => createVm(vm));
  const arrivals: Arrival[] = [];
  const namedLimits: (number | null)[] = [];
  const answers: { dueAt: number; sentAt: number; vm: number; limit: number | null }[] = [];
  for (let at = 0; at < fleet.lengthMs; at += STEP_MS) {
    const instant = at;
    vms.forEach((_, vm) => {
      if (fleet.restartsAt?.(vm, instant) === true) vms[vm] = createVm(vm);
    });
    while (answers[0] !== undefined && answers[0].dueAt <= at) {
      const { sentAt, vm, limit } = answers.shift()!;
      const answered = { endpointId: ENDPOINT, sentAt };
      const { state } = vms[vm]!;
      if (limit === null) recordUnlimitedAnswer(state, answered, at);
      else recordNamedLimit(state, answered, limit, at);
      if (limit !== null) vms[vm]!.toldAt ??= at;
      namedLimits[at / STEP_MS] = limit;
    }
    namedLimits[at / STEP_MS] ??= namedLimits[at / STEP_MS - 1] ?? null;
    if (at % GOSSIP_MS === 0) {
      exchangeMessages(fleet, vms, at, random);
      vms.forEach(({ state }) => divideRequestLimits(state, () => SERVICE, 3, instant));
    }
    const expected = (fleet.requestsPerSecond(at) * STEP_MS) / MS_PER_SECOND;
    let requests = Math.floor(expected) + (random.next() < expected % 1 ? 1 : 0);
    for (; requests > 0; requests -= 1) {
      const vm = chooseVm(fleet, at, random);
      const { state, toldAt } = vms[vm]!;
      recordServiceArrival(state, SERVICE, 0, at);
      const permits = createRequestPermits(state, { serviceId: SERVICE, priority: 0 }, at);
      if (permits.isPermitted(ENDPOINT)) {
        recordLimitedSend(state, ENDPOINT, at);
        answers.push({ dueAt: at + ANSWER_MS, sentAt: at, vm, limit: fleet.limitAt(at) });
        const isTold = toldAt !== null && at - toldAt >= TOLD_MS;
        arrivals.push({ at, isCounted: isTold && fleet.isExcused?.(vm, at) !== true });
      }
    }
  }
  return { arrivals, namedLimits };
}

/** Plays a fleet and measures what reached its endpoint. */
export function playLimitedFleet(fleet: LimitedFleet): LimitedFleetOutcome {
  const { arrivals, namedLimits } = playRequests(fleet);
  let beganAt = 0;
  while (fleet.limitAt(beganAt) === null) beganAt += STEP_MS;
  const lagged = (at: number) =>
    Math.max(
      ...[0, TOLD_MS / 2, TOLD_MS].map(
        (lag) => fleet.limitAt(at - lag) ?? Number.POSITIVE_INFINITY,
      ),
    );
  let excess = Number.NEGATIVE_INFINITY;
  for (let from = beganAt + SETTLE_MS; from + WINDOW_MS <= fleet.lengthMs; from += 50) {
    const start = from;
    const isIn = ({ at, isCounted }: Arrival) => isCounted && at >= start && at < start + WINDOW_MS;
    const got = arrivals.filter(isIn).length;
    let allowed = LIMIT_SLACK;
    for (let at = from; at < from + WINDOW_MS; at += 50) {
      allowed += (LIMIT_FACTOR * lagged(at) * 50) / MS_PER_SECOND;
    }
    excess = Math.max(excess, got - allowed);
  }
  let allowed = 0;
  for (let at = beganAt + SETTLE_MS; at < fleet.lengthMs; at += STEP_MS) {
    const named = Math.min(
      fleet.limitAt(at) ?? Number.POSITIVE_INFINITY,
      namedLimits[at / STEP_MS] ?? Number.POSITIVE_INFINITY,
    );
    if (Number.isFinite(named)) allowed += (named * STEP_MS) / MS_PER_SECOND;
  }
  const used = arrivals.filter(
    ({ at }) => at >= beganAt + SETTLE_MS && fleet.limitAt(at) !== null,
  ).length;
  return { excess, use: allowed === 0 ? 1 : used / allowed };
}
