import type { DirectoryState, RegisteredEndpoint } from './state.js';

/** Lists the endpoints of a service in state `ready`, which take new requests. */
export function listReadyEndpoints(state: DirectoryState, serviceId: string): RegisteredEndpoint[] {
  const ready: RegisteredEndpoint[] = [];
  for (const endpoint of state.endpoints.values()) {
    if (endpoint.serviceId === serviceId && endpoint.state === 'ready') ready.push(endpoint);
  }
  return ready;
}
