export { checkShape, checkTable, listFaults, type Checked, type Fault } from './checkTable.js';
export { offerManifest, offerSheet, type OfferResult } from './commands.js';
export { findAccount, findClass, listPositions, tableRevision } from './queries.js';
export {
  createTableState,
  createTableView,
  poolsOf,
  type Sheet,
  type TableState,
  type TableView,
} from './state.js';
