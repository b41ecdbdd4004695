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

/** Interval between the windows in which arrivals are counted. */
const WINDOW_STEP_MS = 50;

/** Least number of VMs that each VM expects, as with three seeds. */
const MIN_VMS = 3;

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

interface Answer {
  readonly dueAt: number;
  readonly sentAt: number;
  readonly vm: number;
  readonly limit: number | null;
}

function createVm(vm: number): Vm {
  return { state: createRequestLimitState(`vm-${vm}`), toldAt: null };
}

/** Plays a fleet all of whose requests go to the endpoint when its limit permits it. */
class LimitedFleetPlay {
  readonly arrivals: Arrival[] = [];

  /** What the endpoint named last at each step; null for no limit. */
  readonly namedLimits: (number | null)[] = [];

  readonly #fleet: LimitedFleet;

  readonly #random: Random;

  readonly #vms: Vm[];

  readonly #answers: Answer[] = [];

  constructor(fleet: LimitedFleet) {
    this.#fleet = fleet;
    this.#random = createRandom(fleet.seed);
    this.#vms = Array.from({ length: fleet.vms }, (_, vm) => createVm(vm));
  }

  play(): void {
    for (let at = 0; at < this.#fleet.lengthMs; at += STEP_MS) {
      this.#restartVms(at);
      this.#deliverAnswers(at);
      if (at % GOSSIP_MS === 0) this.#gossip(at);
      this.#sendRequests(at);
    }
  }

  #restartVms(at: number): void {
    this.#vms.forEach((_, vm) => {
      if (this.#fleet.restartsAt?.(vm, at) === true) this.#vms[vm] = createVm(vm);
    });
  }

  #deliverAnswers(at: number): void {
    let named = this.namedLimits.at(-1) ?? null;
    while (this.#answers[0] !== undefined && this.#answers[0].dueAt <= at) {
      const { sentAt, vm, limit } = this.#answers.shift()!;
      const answered = { endpointId: ENDPOINT, sentAt };
      const { state } = this.#vms[vm]!;
      if (limit === null) recordUnlimitedAnswer(state, answered, at);
      else recordNamedLimit(state, answered, limit, at);
      if (limit !== null) this.#vms[vm]!.toldAt ??= at;
      named = limit;
    }
    this.namedLimits.push(named);
  }

  #gossip(at: number): void {
    exchangeMessages(this.#fleet, this.#vms, at, this.#random);
    this.#vms.forEach(({ state }) => divideRequestLimits(state, () => SERVICE, MIN_VMS, at));
  }

  #sendRequests(at: number): void {
    const expected = (this.#fleet.requestsPerSecond(at) * STEP_MS) / MS_PER_SECOND;
    const hasOneMore = this.#random.next() < expected % 1;
    const requests = Math.floor(expected) + (hasOneMore ? 1 : 0);
    for (let sent = 0; sent < requests; sent += 1) this.#sendRequest(at);
  }

  #sendRequest(at: number): void {
    const vm = chooseVm(this.#fleet, at, this.#random);
    const { state, toldAt } = this.#vms[vm]!;
    recordServiceArrival(state, SERVICE, 0, at);
    const permits = createRequestPermits(state, { serviceId: SERVICE, priority: 0 }, at);
    if (!permits.isPermitted(ENDPOINT)) return;
    recordLimitedSend(state, ENDPOINT, at);
    const limit = this.#fleet.limitAt(at);
    this.#answers.push({ dueAt: at + ANSWER_MS, sentAt: at, vm, limit });
    const isTold = toldAt !== null && at - toldAt >= TOLD_MS;
    this.arrivals.push({ at, isCounted: isTold && this.#fleet.isExcused?.(vm, at) !== true });
  }
}

/** Returns the limit that binds at a time: the highest that was named in the last half second. */
function findBindingLimit({ limitAt }: LimitedFleet, at: number): number {
  const lags = [0, TOLD_MS / 2, TOLD_MS];
  return Math.max(...lags.map((lag) => limitAt(at - lag) ?? Number.POSITIVE_INFINITY));
}

function measureExcess(
  fleet: LimitedFleet,
  { arrivals }: LimitedFleetPlay,
  settledAt: number,
): number {
  let excess = Number.NEGATIVE_INFINITY;
  for (let from = settledAt; from + WINDOW_MS <= fleet.lengthMs; from += WINDOW_STEP_MS) {
    const isIn = ({ at, isCounted }: Arrival) => isCounted && at >= from && at < from + WINDOW_MS;
    let allowed = LIMIT_SLACK;
    for (let at = from; at < from + WINDOW_MS; at += WINDOW_STEP_MS) {
      const limit = findBindingLimit(fleet, at);
      allowed += (LIMIT_FACTOR * limit * WINDOW_STEP_MS) / MS_PER_SECOND;
    }
    excess = Math.max(excess, arrivals.filter(isIn).length - allowed);
  }
  return excess;
}

function measureUse(
  { limitAt, lengthMs }: LimitedFleet,
  { arrivals, namedLimits }: LimitedFleetPlay,
  settledAt: number,
): number {
  let allowed = 0;
  for (let at = settledAt; at < lengthMs; at += STEP_MS) {
    const limits = [limitAt(at), namedLimits[at / STEP_MS] ?? null];
    const named = Math.min(...limits.map((limit) => limit ?? Number.POSITIVE_INFINITY));
    if (Number.isFinite(named)) allowed += (named * STEP_MS) / MS_PER_SECOND;
  }
  const used = arrivals.filter(({ at }) => at >= settledAt && limitAt(at) !== null).length;
  return allowed === 0 ? 1 : used / allowed;
}

/** Plays a fleet and measures what reached its endpoint. */
export function playLimitedFleet(fleet: LimitedFleet): LimitedFleetOutcome {
  const play = new LimitedFleetPlay(fleet);
  play.play();
  let beganAt = 0;
  while (fleet.limitAt(beganAt) === null) beganAt += STEP_MS;
  const settledAt = beganAt + SETTLE_MS;
  return {
    excess: measureExcess(fleet, play, settledAt),
    use: measureUse(fleet, play, settledAt),
  };
}
