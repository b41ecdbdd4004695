import { addToRate, readRate } from '../shared/index.js';
import type { Class, PoolId, Request } from '../types/index.js';
import { tierRank } from '../types/index.js';
import { chooseLane, type Selection } from './chooseLane.js';
import {
  createLane,
  createPoolQueue,
  type AccountLane,
  type AdmissionState,
  type Lane,
  type PoolQueue,
  type Waiting,
} from './state.js';

/** A share that cannot be served now is remembered for at most so many requests. */
const MOST_OWED_REQUESTS = 8;

/** A class whose last request came so long ago has no demand any more. */
const DEMAND_GAP_MS = 1000;

/** Minimum shares are kept with this margin: true costs swing about the predicted ones. */
const SHARE_MARGIN = 1.6;

/** A class may send its share of so much time at once and still go before others of its tier. */
const CREDIT_MS = 2000;

/** Offers are announced anew when they change by more than this part. */
const ANNOUNCED_CHANGE = 0.25;

function queueFor(state: AdmissionState, pool: PoolId): PoolQueue {
  let queue = state.pools.get(pool);
  if (queue === undefined) {
    queue = createPoolQueue();
    state.pools.set(pool, queue);
  }
  return queue;
}

function laneFor(state: AdmissionState, pool: PoolId, classId: string): Lane {
  const { lanes } = queueFor(state, pool);
  let lane = lanes.get(classId);
  if (lane === undefined) {
    lane = createLane(classId);
    lanes.set(classId, lane);
  }
  return lane;
}

function accountFor(lane: Lane, accountId: string, weight: number): AccountLane {
  let account = lane.accounts.get(accountId);
  if (account === undefined) {
    account = { accountId, weight, waiting: [], cost: 0, virtualTime: lane.accountClock };
    lane.accounts.set(accountId, account);
  }
  return account;
}

function addCost(lane: Lane, account: AccountLane, waiting: Waiting): void {
  account.cost += waiting.cost;
  lane.cost += waiting.cost;
  lane.size += 1;
}

function takeAt(lane: Lane, account: AccountLane, index: number): Waiting {
  const [taken] = account.waiting.splice(index, 1) as [Waiting];
  account.cost -= taken.cost;
  lane.cost -= taken.cost;
  lane.size -= 1;
  if (lane.size === 0) lane.cost = 0;
  return taken;
}

// An account that leaves keeps no state: its place in the order is lost, as is any credit.
function forgetIfEmpty(lane: Lane, account: AccountLane): void {
  if (account.waiting.length === 0) lane.accounts.delete(account.accountId);
}

/** Puts a request at the end of its account's lane; weight is the account's. */
export function enqueueRequest(
  state: AdmissionState,
  request: Request,
  row: Class,
  cost: number,
  weight: number,
  now: number,
): void {
  const lane = laneFor(state, request.pool, request.classId);
  if (lane.size === 0) {
    const clock = queueFor(state, request.pool).clocks[tierRank(row.tier)] ?? 0;
    lane.virtualTime = Math.max(lane.virtualTime, clock);
    // What was owed to a class that then asked for nothing is not made good later.
    if (now - lane.arrivedAt > DEMAND_GAP_MS) lane.owed = Math.min(lane.owed, 0);
  }
  const account = accountFor(lane, request.accountId, weight);
  const waiting = { request, cost };
  account.waiting.push(waiting);
  addCost(lane, account, waiting);
  lane.arrivedAt = now;
  addToRate(lane.arrived, cost, now);
  addToRate(lane.burst, cost, now);
}

/** Puts a request back at the head of its account's lane; its cost was charged before. */
export function requeueRequest(state: AdmissionState, request: Request): void {
  const lane = laneFor(state, request.pool, request.classId);
  const account = accountFor(lane, request.accountId, 1);
  const waiting = { request, cost: 0 };
  account.waiting.unshift(waiting);
  addCost(lane, account, waiting);
}

/** Takes a request out of its lane; false when it no longer waits. */
export function removeRequest(state: AdmissionState, request: Request): boolean {
  const lane = state.pools.get(request.pool)?.lanes.get(request.classId);
  const account = lane?.accounts.get(request.accountId);
  const index = account?.waiting.findIndex((w) => w.request.id === request.id) ?? -1;
  if (lane === undefined || account === undefined || index < 0) return false;
  takeAt(lane, account, index);
  forgetIfEmpty(lane, account);
  return true;
}

/** Adds a lane's part of what was sent to what its class is owed, and to its credit. */
function earn(lane: Lane, part: number, mostCredit: number): void {
  lane.credit = Math.min(mostCredit, lane.credit + part);
  if (lane.size === 0) return;
  const mean = lane.cost / lane.size;
  lane.owed = Math.min(lane.owed + part, MOST_OWED_REQUESTS * Math.max(1, mean));
}

/** Charges what was sent: moves the virtual times and the guaranteed shares of all lanes. */
function charge(queue: PoolQueue, lane: Lane, cost: number, selection: Selection): void {
  const { classes, shareBoost, now } = selection;
  const row = classes.get(lane.classId);
  lane.virtualTime += cost / (row?.weight ?? 1);
  queue.clocks[tierRank(row?.tier ?? 'background')] = lane.virtualTime;
  addToRate(lane.served, cost, now);
  addToRate(queue.served, cost, now);
  const burst = readRate(queue.served, now) * CREDIT_MS;
  for (const other of queue.lanes.values()) {
    const share = (classes.get(other.classId)?.share ?? 0) * shareBoost(other.classId);
    earn(other, share * cost * SHARE_MARGIN, share * burst);
  }
  // Service beyond the share is not held against the class: at most one request's worth is.
  lane.owed = Math.max(lane.owed - cost, -cost);
  lane.credit = Math.max(lane.credit - cost, -cost);
}

function chooseAccount(lane: Lane): AccountLane {
  let chosen: AccountLane | undefined;
  for (const account of lane.accounts.values()) {
    if (chosen === undefined || account.virtualTime < chosen.virtualTime) chosen = account;
  }
  return chosen!;
}

// A request whose first-token target is lost goes after those that can still meet theirs.
function chooseIndex(account: AccountLane, firstTokenMs: number, now: number): number {
  const index = account.waiting.findIndex(
    ({ request, cost }) => cost === 0 || request.arrivedAt + firstTokenMs > now,
  );
  return Math.max(0, index);
}

/** Takes the request to serve next, or undefined when no allowed lane has one. */
export function takeNext(
  state: AdmissionState,
  pool: PoolId,
  selection: Selection,
): Request | undefined {
  const queue = state.pools.get(pool);
  const lane = queue === undefined ? undefined : chooseLane(queue, selection);
  if (queue === undefined || lane === undefined) return undefined;
  const account = chooseAccount(lane);
  const target = selection.classes.get(lane.classId)?.target.firstTokenMs ?? Infinity;
  const { request, cost } = takeAt(lane, account, chooseIndex(account, target, selection.now));
  account.virtualTime += cost / account.weight;
  lane.accountClock = account.virtualTime;
  forgetIfEmpty(lane, account);
  charge(queue, lane, cost, selection);
  return request;
}

/** Corrects the account of a class once the true cost of a request is known. */
export function correctCost(
  state: AdmissionState,
  pool: PoolId,
  row: Class,
  difference: number,
): void {
  const lane = state.pools.get(pool)?.lanes.get(row.id);
  if (lane === undefined) return;
  lane.virtualTime += difference / row.weight;
  lane.credit -= difference;
  lane.owed -= difference;
}

/**
 * Announces what arrives in each lane. Small swings are left out: the VMs divide an endpoint's
 * slots without overlap only while they reckon with the same numbers.
 */
export function announceOffers(state: AdmissionState, now: number): void {
  for (const { lanes } of state.pools.values()) {
    for (const lane of lanes.values()) {
      const rate = readRate(lane.arrived, now);
      const change = Math.abs(rate - lane.announced);
      if (change > ANNOUNCED_CHANGE * lane.announced) lane.announced = rate;
    }
  }
}

function heaviestAccount(lane: Lane): AccountLane | undefined {
  let heaviest: AccountLane | undefined;
  for (const account of lane.accounts.values()) {
    const load = account.cost / account.weight;
    if (heaviest === undefined || load > heaviest.cost / heaviest.weight) heaviest = account;
  }
  return heaviest;
}

/**
 * Takes out what waits beyond the bounds of a lane: the newest requests of the accounts
 * with the most waiting. `mostCost` bounds the cost that waits ahead of the last one.
 */
export function takeOverflow(
  state: AdmissionState,
  pool: PoolId,
  classId: string,
  mostRequests: number,
  mostCost: number,
): Request[] {
  const lane = state.pools.get(pool)?.lanes.get(classId);
  const taken: Request[] = [];
  while (lane !== undefined && lane.size > 0) {
    const account = heaviestAccount(lane)!;
    const last = account.waiting.at(-1)!;
    if (lane.size <= mostRequests && lane.cost - last.cost <= mostCost) break;
    // A request that was put back for a retry has run in part; it is not shed for its place.
    if (last.cost === 0) break;
    taken.push(takeAt(lane, account, account.waiting.length - 1).request);
    forgetIfEmpty(lane, account);
  }
  return taken;
}

/** Takes out every waiting request of a pool that a test names hopeless. */
export function takeHopeless(
  state: AdmissionState,
  pool: PoolId,
  isHopeless: (waiting: Waiting) => boolean,
): Request[] {
  const taken: Request[] = [];
  for (const lane of state.pools.get(pool)?.lanes.values() ?? []) {
    for (const account of lane.accounts.values()) {
      for (let index = account.waiting.length - 1; index >= 0; index -= 1) {
        if (!isHopeless(account.waiting[index]!)) continue;
        taken.push(takeAt(lane, account, index).request);
      }
      forgetIfEmpty(lane, account);
    }
  }
  return taken;
}
