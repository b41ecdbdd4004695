export { diffTables, type Difference } from './diffTables.js';
export { formatDifference } from './formatDifference.js';
export { sumTokenUse, type TokenUse } from './sumTokenUse.js';
