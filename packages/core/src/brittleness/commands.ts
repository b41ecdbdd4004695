import { isBrittle } from './queries.js';
import type { BrittlenessState, Waiter } from './state.js';

/** Mean time of a request before any was measured. */
const INITIAL_RUN_MS = 200;

/** Weight of the latest request in the mean time. */
const RUN_SMOOTHING = 0.1;

/** Most services that are recorded. */
const MAX_SERVICES = 1024;

/** After this time a request that was turned away matters no more. */
const TURNED_AWAY_TTL_MS = 5000;

/** Records that the endpoints of a service say that they are brittle. */
export function recordBrittle(
  state: BrittlenessState,
  serviceId: string,
  brittleness: number,
  at: number,
): void {
  const { services } = state;
  const known = services.get(serviceId);
  if (known === undefined) {
    if (services.size >= MAX_SERVICES) return;
    services.set(serviceId, { seenAt: at, brittleness, meanRunMs: INITIAL_RUN_MS });
  } else if (at >= known.seenAt) {
    known.seenAt = at;
    known.brittleness = brittleness;
  }
}

/** Records an answer to a request sent at `sentAt` that says nothing of it: the time is over. */
export function recordSound(state: BrittlenessState, serviceId: string, sentAt: number): void {
  const known = state.services.get(serviceId);
  if (known !== undefined && sentAt > known.seenAt) state.services.delete(serviceId);
}

/** Records a request that is sent to an endpoint. */
export function holdEndpointSlot({ held }: BrittlenessState, endpointId: string): void {
  held.set(endpointId, (held.get(endpointId) ?? 0) + 1);
}

/** Records that an endpoint has a request no more. */
export function releaseEndpointSlot({ held }: BrittlenessState, endpointId: string): void {
  const left = (held.get(endpointId) ?? 0) - 1;
  if (left > 0) held.set(endpointId, left);
  else held.delete(endpointId);
}

/** Records how long a request took. */
export function recordRun({ services }: BrittlenessState, serviceId: string, runMs: number): void {
  const known = services.get(serviceId);
  if (known !== undefined) known.meanRunMs += RUN_SMOOTHING * (runMs - known.meanRunMs);
}

/** Records that an endpoint turned a request away. */
export function recordTurnedAway(state: BrittlenessState, endpointId: string, now: number): void {
  state.turnedAwayAt.set(endpointId, now);
}

/** Adds a request that waits, behind those that are as urgent. */
export function addWaiter({ waiters }: BrittlenessState, waiter: Waiter): void {
  const behind = waiters.findIndex(({ priority }) => priority > waiter.priority);
  waiters.splice(behind < 0 ? waiters.length : behind, 0, waiter);
}

/** Removes a request that waits; false when it does not. */
export function removeWaiter({ waiters }: BrittlenessState, waiter: Waiter): boolean {
  const index = waiters.indexOf(waiter);
  if (index < 0) return false;
  waiters.splice(index, 1);
  return true;
}

/** Takes the request of a service that has waited longest among the most urgent. */
export function takeWaiter({ waiters }: BrittlenessState, serviceId: string): Waiter | undefined {
  const index = waiters.findIndex((waiter) => waiter.serviceId === serviceId);
  return index < 0 ? undefined : waiters.splice(index, 1)[0];
}

/** Replaces the VMs that share the slots of endpoints; this one is among them. */
export function setSharingVms(state: BrittlenessState, peerIds: Iterable<string>): void {
  state.vmIds = [...new Set([state.vmId, ...peerIds])].sort();
}

/** Removes services that are brittle no more, and old refusals. */
export function removeEndedBrittleness(state: BrittlenessState, now: number): void {
  state.services.forEach((_, id) => {
    if (!isBrittle(state, id, now)) state.services.delete(id);
  });
  state.turnedAwayAt.forEach((at, id) => {
    if (at < now - TURNED_AWAY_TTL_MS) state.turnedAwayAt.delete(id);
  });
}
