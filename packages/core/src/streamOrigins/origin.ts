import type { RegisteredEndpoint } from '../directory/index.js';

/** The service and software version at which a stream began. */
export interface StreamOrigin {
  readonly serviceId: string;
  /** Null when the endpoint registered none. */
  readonly version: string | null;
}

/** Returns where a stream begins whose first event comes from an endpoint. */
export function originOf({ serviceId, version }: RegisteredEndpoint): StreamOrigin {
  return { serviceId, version };
}

/** Says whether a stream may go on at an endpoint: what two versions write does not fit together. */
export function canGoOn(origin: StreamOrigin, endpoint: RegisteredEndpoint): boolean {
  return endpoint.serviceId === origin.serviceId && endpoint.version === origin.version;
}
