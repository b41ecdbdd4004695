export { addToBacklog, removeFromBacklog, takeFromBacklog, takeOverdue } from './commands.js';
export { predictBeginMs } from './queries.js';
export { createBacklog, type Backlog, type BacklogEntry } from './state.js';
