import type { RegisteredEndpoint } from '../directory/index.js';
import { hashText } from '../shared/index.js';
import type { BrittleService, BrittlenessState } from './state.js';

/** A service is brittle for this long after an answer that said so. */
const BRITTLE_TTL_MS = 10_000;

/** An endpoint that turned a request of this VM away gets none for this long. */
const BACK_OFF_MS = 1200;

/** A service that is brittle, as it is told to peers. */
export interface BrittleReport {
  readonly serviceId: string;
  readonly brittleness: number;
  /** Epoch milliseconds. */
  readonly seenAt: number;
}

function findBrittle(
  { services }: BrittlenessState,
  serviceId: string,
  now: number,
): BrittleService | undefined {
  const service = services.get(serviceId);
  return service !== undefined && service.seenAt >= now - BRITTLE_TTL_MS ? service : undefined;
}

/** Says whether the endpoints of a service are brittle. */
export function isBrittle(state: BrittlenessState, serviceId: string, now: number): boolean {
  // Hot path: nearly always no service is.
  return state.services.size > 0 && findBrittle(state, serviceId, now) !== undefined;
}

/**
 * Returns how many slots of an endpoint this VM may use. The VMs deal the slots out in the same way,
 * so that all of them together never send more than the endpoint runs at a time.
 */
export function countOwnSlots(
  { vmId, vmIds }: BrittlenessState,
  { id, slots }: RegisteredEndpoint,
): number {
  const vms = vmIds.length;
  const place = (vmIds.indexOf(vmId) + hashText(id)) % vms;
  return Math.floor(slots / vms) + (place < slots % vms ? 1 : 0);
}

/** Says whether this VM may send an endpoint of a brittle service one more request. */
export function hasOwnSlot(
  state: BrittlenessState,
  endpoint: RegisteredEndpoint,
  now: number,
): boolean {
  const turnedAwayAt = state.turnedAwayAt.get(endpoint.id) ?? 0;
  if (turnedAwayAt > now - BACK_OFF_MS) return false;
  return (state.held.get(endpoint.id) ?? 0) < countOwnSlots(state, endpoint);
}

/** Says whether an endpoint has turned a request of this VM away lately, and may fall over. */
export function hasTurnedAwayLately(
  { turnedAwayAt }: BrittlenessState,
  endpointId: string,
  now: number,
): boolean {
  return (turnedAwayAt.get(endpointId) ?? 0) > now - BACK_OFF_MS;
}

/** Returns the mean time that a request to a brittle service takes, in milliseconds. */
export function meanRunMs({ services }: BrittlenessState, serviceId: string): number {
  return services.get(serviceId)?.meanRunMs ?? 0;
}

/**
 * Returns the time until a request that begins to wait now would be sent, in milliseconds: behind all
 * that are as urgent, at the slots that this VM has.
 */
export function predictWaitMs(
  state: BrittlenessState,
  { serviceId, priority }: { readonly serviceId: string; readonly priority: number },
  endpoints: readonly RegisteredEndpoint[],
): number {
  const slots = endpoints.reduce((sum, endpoint) => sum + countOwnSlots(state, endpoint), 0);
  if (slots === 0) return Number.POSITIVE_INFINITY;
  const ahead = state.waiters.filter(
    (waiter) => waiter.serviceId === serviceId && waiter.priority <= priority,
  );
  return ((ahead.length + 1) * meanRunMs(state, serviceId)) / slots;
}

/** Lists the services that are brittle. */
export function listBrittle(state: BrittlenessState, now: number): BrittleReport[] {
  return [...state.services]
    .filter(([id]) => isBrittle(state, id, now))
    .map(([serviceId, { brittleness, seenAt }]) => ({ serviceId, brittleness, seenAt }));
}
