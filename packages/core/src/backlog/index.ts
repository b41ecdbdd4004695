export { addToBacklog, removeFromBacklog, takeFromBacklog, takeOverdue } from './commands.js';
export { mostUrgentPriority, predictBeginMs } from './queries.js';
export { createBacklog, type Backlog, type BacklogEntry } from './state.js';
