export { CoreFleet, type Node, type Platform } from './coreFleet.js';
export { describe, it, itAlone } from './describe.js';
export { publishTable, type PublishedTable } from './publishedTable.js';
