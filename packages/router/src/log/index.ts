export { ChangeLog } from './changeLog.js';
export { createLog } from './createLog.js';
