/** What is known of one endpoint's health. */
export interface EndpointHealth {
  consecutiveFailures: number;
  /** Until this instant it gets no requests; a probe may end it earlier. */
  ejectedUntil: number;
  ejections: number;
}

/** Health of the endpoints, by id. */
export interface HealthState {
  readonly endpoints: Map<string, EndpointHealth>;
}

/** Creates the state in which every endpoint is taken to be healthy. */
export function createHealthState(): HealthState {
  return { endpoints: new Map() };
}
