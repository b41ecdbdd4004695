export { AdminClient, adminFlags, withAdminClient } from './adminClient.js';
export { AdminError, UsageError } from './errors.js';
export { describeUnknown, findNearest } from './findNearest.js';
export { formatFaults } from './formatFaults.js';
export { formatTable } from './formatTable.js';
export { readJsonFile, readTable } from './readJsonFile.js';
