import { listEngineRanks } from './ranks.js';
import type { Configuration, Route, RoutingState } from './state.js';

function indexRoutes(routes: readonly Route[]): Map<string, Map<string, Route>> {
  const index = new Map<string, Map<string, Route>>();
  for (const route of routes) {
    const host = route.host.toLowerCase();
    const prefixes = index.get(host) ?? new Map<string, Route>();
    prefixes.set(route.prefix, route);
    index.set(host, prefixes);
  }
  return index;
}

/** Activates a configuration; false when its version is not higher than the active one. */
export function adoptConfiguration(state: RoutingState, configuration: Configuration): boolean {
  if (configuration.version <= (state.configuration?.version ?? -1)) return false;
  state.configuration = configuration;
  state.routes = indexRoutes(configuration.routes);
  state.engineRanks = listEngineRanks(configuration);
  return true;
}
