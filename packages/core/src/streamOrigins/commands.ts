import type { RegisteredEndpoint } from '../directory/index.js';
import type { StreamOrigin } from './origin.js';
import { hasSeveralVersions, ORIGIN_TTL_MS, type SeenVersion } from './queries.js';
import type { StreamOriginState } from './state.js';

/** Most streams whose origins are kept; the oldest is dropped first. */
const MAX_ORIGINS = 16_384;

/** Most versions kept of a service. */
const MAX_VERSIONS = 64;

/** Most services whose versions are kept. */
const MAX_SERVICES = 1024;

/** Records where a stream began and when that was first known; what is known already stays. */
export function recordOrigin(
  state: StreamOriginState,
  key: string,
  { serviceId, version }: StreamOrigin,
  isOwn: boolean,
  at: number,
): void {
  if (state.origins.has(key)) return;
  state.origins.set(key, { serviceId, version, at, isOwn });
  if (state.origins.size <= MAX_ORIGINS) return;
  state.origins.delete(state.origins.keys().next().value!);
}

/** Records that a version serves; true when its service has several versions from now on. */
function recordVersion(
  state: StreamOriginState,
  { serviceId, version, at }: SeenVersion,
  now: number,
): boolean {
  const hadSeveral = hasSeveralVersions(state, serviceId, now);
  let versions = state.versionsSeenAt.get(serviceId);
  if (versions === undefined) {
    if (state.versionsSeenAt.size >= MAX_SERVICES) return false;
    versions = new Map();
    state.versionsSeenAt.set(serviceId, versions);
  }
  if (!versions.has(version) && versions.size >= MAX_VERSIONS) return false;
  versions.set(version, Math.max(at, versions.get(version) ?? at));
  return !hadSeveral && hasSeveralVersions(state, serviceId, now);
}

/**
 * Records the versions of registered endpoints; returns the services that have several versions from
 * now on.
 */
export function recordServingVersions(
  state: StreamOriginState,
  endpoints: Iterable<RegisteredEndpoint>,
  now: number,
): string[] {
  const changed: string[] = [];
  for (const { serviceId, version } of endpoints) {
    if (recordVersion(state, { serviceId, version, at: now }, now)) changed.push(serviceId);
  }
  return changed;
}

/** Records the versions that a peer has seen; returns the services that have several from now on. */
export function recordPeerVersions(
  state: StreamOriginState,
  seen: readonly SeenVersion[],
  now: number,
): string[] {
  return seen
    .filter(({ at }) => at <= now && at > now - ORIGIN_TTL_MS)
    .filter((version) => recordVersion(state, version, now))
    .map(({ serviceId }) => serviceId);
}

/** Records that all versions that served since an instant are known. */
export function recordKnownSince(state: StreamOriginState, at: number): void {
  state.knownSince = Math.min(state.knownSince, at);
}

/** Removes the origins of streams that no caller takes up any more, and versions that are gone. */
export function removeExpiredOrigins(state: StreamOriginState, now: number): void {
  state.origins.forEach(({ at }, key) => {
    if (at < now - ORIGIN_TTL_MS) state.origins.delete(key);
  });
  state.versionsSeenAt.forEach((versions, serviceId) => {
    versions.forEach((at, version) => {
      if (at < now - ORIGIN_TTL_MS) versions.delete(version);
    });
    if (versions.size === 0) state.versionsSeenAt.delete(serviceId);
  });
}
