export { formatReport } from './formatReport.js';
export { readResults, type Result } from './readResults.js';
