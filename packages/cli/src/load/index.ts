export { formatLoad, summarizeLoad, type LoadFigures } from './summarizeLoad.js';
