export {
  checkReferences,
  checkShape,
  checkSheet,
  checkTable,
  listFaults,
  type CheckResult,
  type Fault,
} from './checkTable.js';
export { recordConflict, offerManifest, offerSheet, type OfferResult } from './commands.js';
export { recordFetchFailure, takeDueFetches } from './fetches.js';
export {
  digestManifest,
  findAccount,
  findClass,
  hasFailedFetches,
  highestKnownRevision,
  isWorthFetching,
  readSheet,
  tableDigest,
  tableRevision,
} from './queries.js';
export {
  createTableState,
  createTableView,
  listPoolIds,
  type SheetFetch,
  type Sheet,
  type TableState,
  type TableView,
  type WantedTable,
} from './state.js';
