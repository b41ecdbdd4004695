export { readSheets } from './readSheets.js';
export { writeSheets } from './writeSheets.js';
