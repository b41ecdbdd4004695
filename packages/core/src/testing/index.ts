export { CoreFleet, type FleetNode, type Platform } from './coreFleet.js';
export { describe, it, itFails, itKnownRed, itSerial } from './describe.js';
export { publishTable, type PublishedTable } from './publishedTable.js';
