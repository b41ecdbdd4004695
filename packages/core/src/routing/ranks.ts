import type { ClientAccount, Configuration, Route, RoutingState } from './state.js';

/** Factor of an account's priority, so that it takes precedence over every route priority. */
const ROUTE_PRIORITY_LEVELS = 10;

/** Priorities that an engine tells apart: 0, the most urgent, to 9. */
const ENGINE_PRIORITIES = 10;

/** Returns the rank of a request among all requests; 0 is the most urgent. */
export function rankOfRequest(account: ClientAccount | undefined, route: Route): number {
  return (account?.priority ?? 0) * ROUTE_PRIORITY_LEVELS + route.priority;
}

/** Lists the ranks that requests to engines can have in a configuration, most urgent first. */
export function listEngineRanks({ accounts, routes, services }: Configuration): number[] {
  const hasEngine = ({ split }: Route) =>
    split.some(({ serviceId }) => (services.get(serviceId)?.engine ?? null) !== null);
  const engineRoutes = routes.filter(hasEngine);
  const ranks = new Set<number>();
  [undefined, ...(accounts?.values() ?? [])].forEach((account) => {
    engineRoutes.forEach((route) => ranks.add(rankOfRequest(account, route)));
  });
  return [...ranks].sort((a, b) => a - b);
}

/**
 * Returns the priority that engines get for a rank. It keeps the order of the ranks, and tells all of
 * them apart while there are no more than an engine does.
 */
export function enginePriorityOfRank({ engineRanks }: RoutingState, rank: number): number {
  const index = engineRanks.filter((other) => other < rank).length;
  if (engineRanks.length <= ENGINE_PRIORITIES) return Math.min(ENGINE_PRIORITIES - 1, index);
  const scaled = Math.floor((index * ENGINE_PRIORITIES) / engineRanks.length);
  return Math.min(ENGINE_PRIORITIES - 1, scaled);
}
