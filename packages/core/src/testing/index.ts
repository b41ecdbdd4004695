export { describe, it, itAlone } from './describe.js';
