export { findFreeAddress } from './freeAddress.js';
