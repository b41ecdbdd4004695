import type { DirectoryState, RegisteredEndpoint } from './state.js';

/** Lists the endpoints of a service that take new requests. */
export function listServing(state: DirectoryState, serviceId: string): RegisteredEndpoint[] {
  const serving: RegisteredEndpoint[] = [];
  for (const endpoint of state.endpoints.values()) {
    if (endpoint.serviceId === serviceId && endpoint.state === 'ready') serving.push(endpoint);
  }
  return serving;
}
