export {
  applyEntries,
  applyEntry,
  dropMissing,
  loseStore,
  reachRevision,
  regainStore,
  type EntryChange,
} from './commands.js';
export { listServing } from './queries.js';
export { createDirectoryState, type DirectoryState, type RegisteredEndpoint } from './state.js';
