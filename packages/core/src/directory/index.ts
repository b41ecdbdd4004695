export {
  replaceEntries,
  applyEntryChange,
  removeLapsed,
  LAPSE_GRACE_MS,
  markStoreLost,
  advanceRevision,
  markStoreRegained,
  startEra,
  type EntryChange,
} from './commands.js';
export {
  isDeparting,
  isTakingRequests,
  listDoubtfulDepartures,
  listOwnDepartures,
  MAX_REPORTED_DEPARTURES,
  recordDeparture,
  recordPeerDepartures,
  removeStaleDepartures,
  revokeDeparture,
  type DepartureReport,
} from './departures.js';
export { listReadyEndpoints } from './queries.js';
export { compareEras, comparePositions, type StorePosition } from './storePosition.js';
export {
  createDirectoryState,
  type Departure,
  type DepartureSource,
  type DirectoryState,
  type Lifetime,
  type RegisteredEndpoint,
} from './state.js';
