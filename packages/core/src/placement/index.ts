export { recordReport, releaseSlot, reserveSlot } from './commands.js';
export { chooseEndpoint, countInFlight } from './queries.js';
export { createPlacementState, type EndpointLoad, type PlacementState } from './state.js';
