import { addToRate, ratePerMs } from '../shared/index.js';
import type { Class, PoolId, Request } from '../types/index.js';
import { tierRank } from '../types/index.js';
import { chooseLane, type SelectionContext } from './chooseLane.js';
import {
  createClassLane,
  createPoolQueue,
  type AccountLane,
  type AdmissionState,
  type ClassLane,
  type PoolQueue,
  type QueuedRequest,
} from './state.js';

/** Largest deficit of a minimum share, in requests of the lane's mean cost. */
const MAX_DEFICIT_REQUESTS = 8;

/** An empty lane without an arrival for this long has no demand; its share deficit expires. */
const DEMAND_TIMEOUT_MS = 1000;

/** Factor on the minimum shares, since actual costs vary around the predicted ones. */
const SHARE_HEADROOM = 1.6;

/**
 * Largest burst credit, as a time: a class may send its share of what the pool serves in this time
 * at once, ahead of the other classes of its tier.
 */
const MAX_BURST_MS = 2000;

/** Fraction by which an arrival rate must change before the new one is advertised. */
const MIN_ADVERTISED_CHANGE = 0.25;

function getOrCreatePoolQueue(state: AdmissionState, pool: PoolId): PoolQueue {
  let queue = state.pools.get(pool);
  if (queue === undefined) {
    queue = createPoolQueue();
    state.pools.set(pool, queue);
  }
  return queue;
}

function getOrCreateLane(state: AdmissionState, pool: PoolId, classId: string): ClassLane {
  const { lanes } = getOrCreatePoolQueue(state, pool);
  let lane = lanes.get(classId);
  if (lane === undefined) {
    lane = createClassLane(classId);
    lanes.set(classId, lane);
  }
  return lane;
}

function getOrCreateAccountLane(lane: ClassLane, accountId: string, weight: number): AccountLane {
  let account = lane.accounts.get(accountId);
  if (account === undefined) {
    account = { accountId, weight, waiting: [], cost: 0, virtualTime: lane.accountVirtualTime };
    lane.accounts.set(accountId, account);
  }
  return account;
}

function addToTotals(lane: ClassLane, account: AccountLane, waiting: QueuedRequest): void {
  account.cost += waiting.cost;
  lane.cost += waiting.cost;
  lane.size += 1;
}

function removeAt(lane: ClassLane, account: AccountLane, index: number): QueuedRequest {
  const [taken] = account.waiting.splice(index, 1) as [QueuedRequest];
  account.cost -= taken.cost;
  lane.cost -= taken.cost;
  lane.size -= 1;
  if (lane.size === 0) lane.cost = 0;
  return taken;
}

// An account without waiting requests keeps no state, not even its virtual time.
function deleteIfEmpty(lane: ClassLane, account: AccountLane): void {
  if (account.waiting.length === 0) lane.accounts.delete(account.accountId);
}

/**
 * Appends a request to its account's lane; `cost` is predicted tokens, `weight` the account's,
 * `now` epoch milliseconds.
 */
export function enqueueRequest(
  state: AdmissionState,
  request: Request,
  row: Class,
  cost: number,
  weight: number,
  now: number,
): void {
  const lane = getOrCreateLane(state, request.pool, request.classId);
  if (lane.size === 0) {
    const tierVirtualTime =
      getOrCreatePoolQueue(state, request.pool).tierVirtualTimes[tierRank(row.tier)] ?? 0;
    lane.virtualTime = Math.max(lane.virtualTime, tierVirtualTime);
    // A class that stopped asking gets no compensation for its deficit later.
    if (now - lane.arrivedAt > DEMAND_TIMEOUT_MS) lane.deficit = Math.min(lane.deficit, 0);
  }
  const account = getOrCreateAccountLane(lane, request.accountId, weight);
  const waiting = { request, cost };
  account.waiting.push(waiting);
  addToTotals(lane, account, waiting);
  lane.arrivedAt = now;
  addToRate(lane.arrivalRate, cost, now);
  addToRate(lane.burstArrivalRate, cost, now);
}

/** Requeues a request at the head of its account's lane, at no cost: it was charged before. */
export function requeueRequest(state: AdmissionState, request: Request): void {
  const lane = getOrCreateLane(state, request.pool, request.classId);
  const account = getOrCreateAccountLane(lane, request.accountId, 1);
  const waiting = { request, cost: 0 };
  account.waiting.unshift(waiting);
  addToTotals(lane, account, waiting);
}

/** Removes a request from its lane; returns false when it isn't waiting. */
export function removeRequest(state: AdmissionState, request: Request): boolean {
  const lane = state.pools.get(request.pool)?.lanes.get(request.classId);
  const account = lane?.accounts.get(request.accountId);
  const index = account?.waiting.findIndex((w) => w.request.id === request.id) ?? -1;
  if (lane === undefined || account === undefined || index < 0) return false;
  removeAt(lane, account, index);
  deleteIfEmpty(lane, account);
  return true;
}

/** Adds a class's share of a dispatched cost to its deficit and its burst credit. */
function accrueShare(lane: ClassLane, sharedCost: number, maxCredit: number): void {
  lane.burstCredit = Math.min(maxCredit, lane.burstCredit + sharedCost);
  if (lane.size === 0) return;
  const meanCost = lane.cost / lane.size;
  lane.deficit = Math.min(lane.deficit + sharedCost, MAX_DEFICIT_REQUESTS * Math.max(1, meanCost));
}

/** Charges a dispatched request to its lane, and accrues the minimum shares of all lanes. */
function chargeDispatch(
  queue: PoolQueue,
  lane: ClassLane,
  cost: number,
  selection: SelectionContext,
): void {
  const { classes, shareFactor, now } = selection;
  const row = classes.get(lane.classId);
  lane.virtualTime += cost / (row?.weight ?? 1);
  queue.tierVirtualTimes[tierRank(row?.tier ?? 'background')] = lane.virtualTime;
  addToRate(lane.served, cost, now);
  addToRate(queue.served, cost, now);
  const burst = ratePerMs(queue.served, now) * MAX_BURST_MS;
  for (const other of queue.lanes.values()) {
    const share = (classes.get(other.classId)?.share ?? 0) * shareFactor(other.classId);
    accrueShare(other, share * cost * SHARE_HEADROOM, share * burst);
  }
  // Service beyond the share counts against the class for at most the cost of this request.
  lane.deficit = Math.max(lane.deficit - cost, -cost);
  lane.burstCredit = Math.max(lane.burstCredit - cost, -cost);
}

function chooseAccountLane(lane: ClassLane): AccountLane {
  let chosen: AccountLane | undefined;
  for (const account of lane.accounts.values()) {
    if (chosen === undefined || account.virtualTime < chosen.virtualTime) chosen = account;
  }
  return chosen!;
}

// Requests that can still meet the first-token target, and requeued ones (cost 0), are served
// before those that missed it.
function chooseRequestIndex(account: AccountLane, firstTokenMs: number, now: number): number {
  const index = account.waiting.findIndex(
    ({ request, cost }) => cost === 0 || request.arrivedAt + firstTokenMs > now,
  );
  return Math.max(0, index);
}

/** Removes and returns the request to serve next; undefined when no lane with capacity has one. */
export function takeNext(
  state: AdmissionState,
  pool: PoolId,
  selection: SelectionContext,
): Request | undefined {
  const queue = state.pools.get(pool);
  const lane = queue === undefined ? undefined : chooseLane(queue, selection);
  if (queue === undefined || lane === undefined) return undefined;
  const account = chooseAccountLane(lane);
  const target = selection.classes.get(lane.classId)?.target.firstTokenMs ?? Infinity;
  const { request, cost } = removeAt(
    lane,
    account,
    chooseRequestIndex(account, target, selection.now),
  );
  account.virtualTime += cost / account.weight;
  lane.accountVirtualTime = account.virtualTime;
  deleteIfEmpty(lane, account);
  chargeDispatch(queue, lane, cost, selection);
  return request;
}

/** Corrects what a class was charged by `difference`, the actual less the predicted tokens. */
export function correctCost(
  state: AdmissionState,
  pool: PoolId,
  row: Class,
  difference: number,
): void {
  const lane = state.pools.get(pool)?.lanes.get(row.id);
  if (lane === undefined) return;
  lane.virtualTime += difference / row.weight;
  lane.burstCredit -= difference;
  lane.deficit -= difference;
}

/**
 * Updates the arrival rates that this VM advertises to its peers. Small changes are left out: the
 * VMs divide a pool's slots without overlap only while they use the same rates.
 */
export function updateAdvertisedRates(state: AdmissionState, now: number): void {
  for (const { lanes } of state.pools.values()) {
    for (const lane of lanes.values()) {
      const rate = ratePerMs(lane.arrivalRate, now);
      const change = Math.abs(rate - lane.advertisedRate);
      if (change > MIN_ADVERTISED_CHANGE * lane.advertisedRate) lane.advertisedRate = rate;
    }
  }
}

function findHeaviestAccountLane(lane: ClassLane): AccountLane | undefined {
  let heaviest: AccountLane | undefined;
  for (const account of lane.accounts.values()) {
    const load = account.cost / account.weight;
    if (heaviest === undefined || load > heaviest.cost / heaviest.weight) heaviest = account;
  }
  return heaviest;
}

/**
 * Removes and returns the requests beyond a lane's bounds, the newest ones of the accounts with
 * the most waiting cost by weight. `maxCostAhead` bounds the cost ahead of the last request, in
 * tokens.
 */
export function takeOverflow(
  state: AdmissionState,
  pool: PoolId,
  classId: string,
  maxRequests: number,
  maxCostAhead: number,
): Request[] {
  const lane = state.pools.get(pool)?.lanes.get(classId);
  const taken: Request[] = [];
  while (lane !== undefined && lane.size > 0) {
    const account = findHeaviestAccountLane(lane)!;
    const last = account.waiting.at(-1)!;
    if (lane.size <= maxRequests && lane.cost - last.cost <= maxCostAhead) break;
    // A request requeued for a retry has run in part, so it isn't shed for queue length.
    if (last.cost === 0) break;
    taken.push(removeAt(lane, account, account.waiting.length - 1).request);
    deleteIfEmpty(lane, account);
  }
  return taken;
}

/** Removes and returns every waiting request of a pool that matches. */
export function takeMatching(
  state: AdmissionState,
  pool: PoolId,
  isMatch: (waiting: QueuedRequest) => boolean,
): Request[] {
  const taken: Request[] = [];
  for (const lane of state.pools.get(pool)?.lanes.values() ?? []) {
    for (const account of lane.accounts.values()) {
      for (let index = account.waiting.length - 1; index >= 0; index -= 1) {
        if (!isMatch(account.waiting[index]!)) continue;
        taken.push(removeAt(lane, account, index).request);
      }
      deleteIfEmpty(lane, account);
    }
  }
  return taken;
}
