import { digestText, isRankedAmong, rankMembers } from '../shared/index.js';
import type { StreamOrigin } from './origin.js';
import type { RecordedOrigin, StreamOriginState } from './state.js';

/** Time for which a stream may be taken up; above the longest time-outs of routes with streams. */
export const ORIGIN_TTL_MS = 60_000;

/** A software version of a service and when an endpoint of it was last seen; epoch milliseconds. */
export interface SeenVersion extends StreamOrigin {
  readonly at: number;
}

/** An origin and the key of its stream. */
export interface KeyedOrigin extends StreamOrigin {
  readonly key: string;
}

/** A recorded origin and the key of its stream. */
export type RecordedStream = KeyedOrigin & RecordedOrigin;

/** A longer key is replaced by its digest. */
const MAX_KEY_LENGTH = 128;

/**
 * Returns the key of a stream: the account and the request that brought its first event. Another
 * account gets another key, so that none can ask for its streams.
 */
export function streamKey(accountId: string | null, requestId: string): string {
  const key = `${accountId ?? ''}\n${requestId}`;
  // Hot path: a digest of each key costs too much without the optimising compiler.
  return key.length <= MAX_KEY_LENGTH ? key : digestText(key);
}

/** Returns where a stream began; undefined when this VM does not know. */
export function findOrigin(
  { origins }: StreamOriginState,
  key: string,
  now: number,
): RecordedOrigin | undefined {
  const origin = origins.get(key);
  return origin !== undefined && origin.at >= now - ORIGIN_TTL_MS ? origin : undefined;
}

/** Lists the versions of a service that have served lately. */
export function listVersions(
  { versionsSeenAt }: StreamOriginState,
  serviceId: string,
  now: number,
): SeenVersion[] {
  return [...(versionsSeenAt.get(serviceId) ?? [])]
    .filter(([, at]) => at >= now - ORIGIN_TTL_MS)
    .map(([version, at]) => ({ serviceId, version, at }));
}

/**
 * Says whether endpoints of several versions have served within the time for which streams are taken
 * up. While only one has, any endpoint may continue any stream.
 */
export function hasSeveralVersions(
  state: StreamOriginState,
  serviceId: string,
  now: number,
): boolean {
  const versions = state.versionsSeenAt.get(serviceId);
  // Hot path: nearly always there is one.
  if (versions === undefined || versions.size < 2) return false;
  return listVersions(state, serviceId, now).length > 1;
}

/** Says whether a stream that is taken up may have begun at a version that this VM has never heard of. */
export function mayHaveUnknownVersions({ knownSince }: StreamOriginState, now: number): boolean {
  return knownSince > now - ORIGIN_TTL_MS;
}

/** Returns the version of a service that has served lately, when there is one only. */
export function findOnlyVersion(
  state: StreamOriginState,
  serviceId: string,
  now: number,
): StreamOrigin | undefined {
  const [first, ...others] = listVersions(state, serviceId, now);
  return first === undefined || others.length > 0
    ? undefined
    : { serviceId, version: first.version };
}

/** Lists the versions of all services that have several. */
export function listSeveralVersions(state: StreamOriginState, now: number): SeenVersion[] {
  return [...state.versionsSeenAt.keys()]
    .map((serviceId) => listVersions(state, serviceId, now))
    .filter((versions) => versions.length > 1)
    .flat();
}

/** Lists the origins of a service's streams that began at this VM. */
export function listOwnOrigins(
  { origins }: StreamOriginState,
  serviceId: string,
  now: number,
): KeyedOrigin[] {
  return [...origins]
    .filter(([, { isOwn, at }]) => isOwn && at >= now - ORIGIN_TTL_MS)
    .filter(([, origin]) => origin.serviceId === serviceId)
    .map(([key, { version }]) => ({ key, serviceId, version }));
}

/** Lists the origins that were recorded last, the oldest of them first. */
export function listLatestOrigins(
  { origins }: StreamOriginState,
  count: number,
  now: number,
): RecordedStream[] {
  return [...origins]
    .slice(-count)
    .filter(([, { at }]) => at >= now - ORIGIN_TTL_MS)
    .map(([key, origin]) => ({ key, ...origin }));
}

/** Chooses the VMs that keep the origin of a stream, the same ones on every VM with the same peers. */
export function chooseOriginKeepers<T extends { readonly id: string }>(
  key: string,
  vms: readonly T[],
  count: number,
): T[] {
  return rankMembers(key, vms).slice(0, count);
}

/** Says whether `chooseOriginKeepers` chooses a VM, at less cost. */
export function isOriginKeeper(
  key: string,
  vmId: string,
  vms: readonly { readonly id: string }[],
  count: number,
): boolean {
  return isRankedAmong(key, vmId, vms, count);
}
