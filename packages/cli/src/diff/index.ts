export { diffTables, type Difference } from './diffTables.js';
export { formatDifference } from './formatDifference.js';
export { sumUse, type Use } from './sumUse.js';
