import { compareEras } from '../directory/index.js';
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

/** Where a configuration comes from. */
export interface ConfigurationOrigin {
  /** Era of the store in which it was read; null when unknown. */
  readonly era: number | null;
  /** True when the store has had time to get back what it lost as it came to that era. */
  readonly isSettled: boolean;
}

const UNKNOWN_ORIGIN: ConfigurationOrigin = { era: null, isSettled: false };

/**
 * Activates a configuration; false when the active one stays in force. Within an era the highest
 * version is in force; a store that has come back without it puts a lower one in force once it has
 * settled.
 */
export function adoptConfiguration(
  state: RoutingState,
  configuration: Configuration,
  { era, isSettled }: ConfigurationOrigin = UNKNOWN_ORIGIN,
): boolean {
  const eraOrder = compareEras(era, state.era);
  const versionOrder = configuration.version - (state.configuration?.version ?? -1);
  if (eraOrder < 0) return false;
  const isAdopted = eraOrder > 0 ? versionOrder >= 0 || isSettled : versionOrder > 0;
  if (isAdopted || versionOrder === 0) state.era = era ?? state.era;
  if (!isAdopted) return false;
  state.configuration = configuration;
  state.routes = indexRoutes(configuration.routes);
  state.engineRanks = listEngineRanks(configuration);
  return true;
}
