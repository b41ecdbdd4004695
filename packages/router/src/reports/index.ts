export { cacheEventsSchema } from './cacheEvents.js';
export { ReportTask } from './reportTask.js';
