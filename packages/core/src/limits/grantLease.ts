import type { Limit } from '../types/index.js';
import type { Asker, Coordinated, Coordination } from './state.js';

/** How long a lease lasts, in milliseconds. */
export const LEASE_MS = 2000;

/** A grant shrinks only by more than this part: each change leaves room unused for a lease. */
const STICKY_PART = 0.15;

/**
 * Takes over a list. Of the limits that this VM still coordinates it knows all grants; for
 * all others leases of another coordinator, or of this VM before it started, may be in use.
 */
export function adoptRevision(
  state: Coordination,
  listRevision: number,
  isCoordinator: (limitId: string) => boolean,
  now: number,
): void {
  if (state.listRevision === listRevision) return;
  state.listRevision = listRevision;
  state.adoptedAt = now;
  for (const limitId of [...state.limits.keys()]) {
    if (!isCoordinator(limitId)) state.limits.delete(limitId);
  }
}

/** Grants nothing for one more lease: other VMs follow another list, and another coordinator. */
export function holdGrants(state: Coordination, now: number): void {
  state.adoptedAt = now;
  state.limits.forEach((coordinated) => {
    coordinated.grantsFrom = now + LEASE_MS;
  });
}

function coordinatedOf(state: Coordination, limitId: string): Coordinated {
  let coordinated = state.limits.get(limitId);
  if (coordinated === undefined) {
    coordinated = { grantsFrom: state.adoptedAt + LEASE_MS, askers: new Map() };
    state.limits.set(limitId, coordinated);
  }
  return coordinated;
}

function askerOf({ askers }: Coordinated, vmId: string): Asker {
  const asker = askers.get(vmId) ?? { wanted: 0, grants: [] };
  askers.set(vmId, asker);
  return asker;
}

function dropEnded(askers: Map<string, Asker>, now: number): void {
  for (const [vmId, asker] of askers) {
    asker.grants = asker.grants.filter((grant) => grant.until > now);
    if (asker.grants.length === 0) askers.delete(vmId);
  }
}

// A VM may use any grant that has not ended: the reply with a later one may have been lost.
function largestGrant({ grants }: Asker): number {
  return grants.reduce((most, grant) => Math.max(most, grant.tokensPerSecond), 0);
}

/** Returns what a VM gets when the leasable part is divided by what the VMs want. */
function fairPart(askers: ReadonlyMap<string, Asker>, wanted: number, leasable: number): number {
  let all = 0;
  askers.forEach((asker) => {
    all += asker.wanted;
  });
  return all <= leasable ? wanted : (leasable * wanted) / all;
}

/**
 * Grants a VM a part of a limit. What all VMs may use together never exceeds the part of the
 * limit that is leased, whatever replies were lost. Returns tokens per second; 0 is none.
 */
export function grantLease(
  state: Coordination,
  limit: Limit,
  vmId: string,
  wanted: number,
  now: number,
): number {
  const leasable = limit.tokensPerSecond * (1 - limit.floor);
  const coordinated = coordinatedOf(state, limit.id);
  if (now < coordinated.grantsFrom) return 0;
  const { askers } = coordinated;
  dropEnded(askers, now);
  const asker = askerOf(coordinated, vmId);
  asker.wanted = wanted;
  let taken = 0;
  askers.forEach((other, id) => {
    if (id !== vmId) taken += largestGrant(other);
  });
  const fair = fairPart(askers, wanted, leasable);
  const last = asker.grants.at(-1)?.tokensPerSecond ?? 0;
  const isNear = fair < last && fair > last * (1 - STICKY_PART);
  const granted = Math.max(0, Math.min(isNear ? last : fair, leasable - taken));
  asker.grants.push({ tokensPerSecond: granted, until: now + LEASE_MS });
  return granted;
}
