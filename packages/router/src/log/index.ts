export { createLog } from './createLog.js';
