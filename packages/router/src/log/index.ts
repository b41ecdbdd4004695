export { ChangeLog } from './changeLog.js';
export { createLog } from './createLog.js';
export { standardError, standardOutput } from './lineOutput.js';
