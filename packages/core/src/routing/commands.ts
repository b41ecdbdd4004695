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

/** Puts a configuration in force; false when it is not newer, since a version never falls. */
export function adoptConfiguration(state: RoutingState, configuration: Configuration): boolean {
  if (configuration.version <= (state.configuration?.version ?? -1)) return false;
  state.configuration = configuration;
  state.routes = indexRoutes(configuration.routes);
  return true;
}
