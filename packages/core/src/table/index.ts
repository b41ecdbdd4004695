export {
  checkReferences,
  checkShape,
  checkSheet,
  checkTable,
  listFaults,
  type Checked,
  type Fault,
} from './checkTable.js';
export { noteConflict, offerManifest, offerSheet, type OfferResult } from './commands.js';
export { recordMissing, takeDueFetches } from './fetches.js';
export {
  digestManifest,
  findAccount,
  findClass,
  hasFailedFetches,
  highestSeen,
  isWorthFetching,
  readSheet,
  tableDigest,
  tableRevision,
} from './queries.js';
export {
  createTableState,
  createTableView,
  poolsOf,
  type Fetch,
  type Sheet,
  type TableState,
  type TableView,
  type WantedTable,
} from './state.js';
