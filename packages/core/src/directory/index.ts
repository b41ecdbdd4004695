export {
  replaceEntries,
  applyEntryChange,
  removeLapsed,
  markStoreLost,
  advanceRevision,
  markStoreRegained,
  type EntryChange,
} from './commands.js';
export { listReadyEndpoints } from './queries.js';
export { createDirectoryState, type DirectoryState, type RegisteredEndpoint } from './state.js';
