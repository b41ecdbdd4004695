export { addPage } from './addPage.js';
