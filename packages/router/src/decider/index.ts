export { Decider } from './decider.js';
