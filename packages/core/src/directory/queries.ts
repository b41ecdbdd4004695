import { isDeparting } from './departures.js';
import type { DirectoryState, RegisteredEndpoint } from './state.js';

/** Lists the endpoints of a service that take new requests. */
export function listReadyEndpoints(state: DirectoryState, serviceId: string): RegisteredEndpoint[] {
  const ready: RegisteredEndpoint[] = [];
  for (const endpoint of state.endpoints.values()) {
    const isReady = endpoint.state === 'ready' && !isDeparting(state, endpoint);
    if (isReady && endpoint.serviceId === serviceId) ready.push(endpoint);
  }
  return ready;
}
