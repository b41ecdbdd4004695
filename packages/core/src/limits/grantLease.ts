import type { Limit } from '../types/index.js';
import type { CoordinatedLimit, CoordinatorState, LeaseHolder } from './state.js';

/** Duration of a lease, in milliseconds. */
export const LEASE_MS = 2000;

/**
 * A grant shrinks only by more than this fraction, because the capacity that a VM gives up stays
 * unused until its larger grant expires.
 */
const GRANT_HYSTERESIS = 0.15;

/**
 * Adopts a revision of the VM list. The grants of limits that this VM still coordinates stay known.
 * For all other limits, leases of another coordinator, or of this VM before a restart, may be in
 * use, so new grants wait for `LEASE_MS`.
 */
export function adoptListRevision(
  state: CoordinatorState,
  listRevision: number,
  isCoordinator: (limitId: string) => boolean,
  now: number,
): void {
  if (state.listRevision === listRevision) return;
  state.listRevision = listRevision;
  state.grantsPausedAt = now;
  for (const limitId of [...state.limits.keys()]) {
    if (!isCoordinator(limitId)) state.limits.delete(limitId);
  }
}

/**
 * Grants nothing for `LEASE_MS`. Called while other VMs have another revision of the VM list, by
 * which another coordinator may grant leases.
 */
export function pauseGrants(state: CoordinatorState, now: number): void {
  state.grantsPausedAt = now;
  state.limits.forEach((limit) => {
    limit.noGrantsBefore = now + LEASE_MS;
  });
}

function getOrCreateCoordinatedLimit(state: CoordinatorState, limitId: string): CoordinatedLimit {
  let coordinated = state.limits.get(limitId);
  if (coordinated === undefined) {
    coordinated = { noGrantsBefore: state.grantsPausedAt + LEASE_MS, holders: new Map() };
    state.limits.set(limitId, coordinated);
  }
  return coordinated;
}

function getOrCreateHolder({ holders }: CoordinatedLimit, vmId: string): LeaseHolder {
  const holder = holders.get(vmId) ?? { requestedTokensPerSecond: 0, grants: [] };
  holders.set(vmId, holder);
  return holder;
}

function removeExpiredGrants(holders: Map<string, LeaseHolder>, now: number): void {
  for (const [vmId, holder] of holders) {
    holder.grants = holder.grants.filter((grant) => grant.until > now);
    if (holder.grants.length === 0) holders.delete(vmId);
  }
}

// A VM may use any grant that has not expired: the reply with a later one may have been lost.
function findLargestGrant({ grants }: LeaseHolder): number {
  return grants.reduce((most, grant) => Math.max(most, grant.tokensPerSecond), 0);
}

/** Returns a VM's part when the leasable rate is divided in proportion to the requests. */
function computeFairShare(
  holders: ReadonlyMap<string, LeaseHolder>,
  requested: number,
  leasable: number,
): number {
  let requestedByAll = 0;
  holders.forEach((holder) => {
    requestedByAll += holder.requestedTokensPerSecond;
  });
  return requestedByAll <= leasable ? requested : (leasable * requested) / requestedByAll;
}

/**
 * Grants a VM a lease and returns its tokens per second; 0 grants nothing. The grants that the VMs
 * may use together never exceed the leasable part of the limit, whichever replies are lost.
 * `requested` is tokens per second.
 */
export function grantLease(
  state: CoordinatorState,
  limit: Limit,
  vmId: string,
  requested: number,
  now: number,
): number {
  const leasable = limit.tokensPerSecond * (1 - limit.floor);
  const coordinated = getOrCreateCoordinatedLimit(state, limit.id);
  if (now < coordinated.noGrantsBefore) return 0;
  const { holders } = coordinated;
  removeExpiredGrants(holders, now);
  const holder = getOrCreateHolder(coordinated, vmId);
  holder.requestedTokensPerSecond = requested;
  let heldByOthers = 0;
  holders.forEach((other, id) => {
    if (id !== vmId) heldByOthers += findLargestGrant(other);
  });
  const fairShare = computeFairShare(holders, requested, leasable);
  const last = holder.grants.at(-1)?.tokensPerSecond ?? 0;
  const isSlightDecrease = fairShare < last && fairShare > last * (1 - GRANT_HYSTERESIS);
  const granted = Math.max(
    0,
    Math.min(isSlightDecrease ? last : fairShare, leasable - heldByOthers),
  );
  holder.grants.push({ tokensPerSecond: granted, until: now + LEASE_MS });
  return granted;
}
