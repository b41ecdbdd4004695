export { main } from './main.js';
