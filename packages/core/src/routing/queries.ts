import { hashText } from '../shared/index.js';
import type { ClientAccount, Route, RoutingState } from './state.js';

/** Number of values that `hashText` can return. */
const HASH_RANGE = 2 ** 32;

/** Returns the version of the active configuration; -1 before the first. */
export function configurationVersion(state: RoutingState): number {
  return state.configuration?.version ?? -1;
}

/** Finds the host's route with the longest prefix of the path; prefixes end at a slash. */
export function findRoute(state: RoutingState, host: string, path: string): Route | undefined {
  const prefixes = state.routes.get(host.toLowerCase());
  if (prefixes === undefined) return undefined;
  let end = path.lastIndexOf('/');
  while (end >= 0) {
    const route = prefixes.get(path.slice(0, end + 1));
    if (route !== undefined) return route;
    end = end === 0 ? -1 : path.lastIndexOf('/', end - 1);
  }
  return undefined;
}

/** Finds the client account that an account key belongs to in the active configuration. */
export function findAccountByKey(
  state: RoutingState,
  key: string | null,
): ClientAccount | undefined {
  return key === null ? undefined : state.configuration?.accounts?.get(key);
}

/**
 * Chooses a request's service by the route's weights, always the same one for a request id;
 * undefined when no weight is above 0.
 */
export function chooseService(route: Route, requestId: string): string | undefined {
  const total = route.split.reduce((sum, { weight }) => sum + weight, 0);
  let remainingWeight = (hashText(`${route.id}\n${requestId}`) / HASH_RANGE) * total;
  for (const { serviceId, weight } of route.split) {
    remainingWeight -= weight;
    if (remainingWeight < 0 && weight > 0) return serviceId;
  }
  return route.split.findLast(({ weight }) => weight > 0)?.serviceId;
}

/** Says whether a request of the route may run more than once, so that it may be retried. */
export function isRepeatable({ repetition, isResumable }: Route): boolean {
  return repetition === 'idempotent' || (repetition === 'streaming' && isResumable);
}
