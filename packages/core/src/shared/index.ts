export { createRandom, nextInteger, type Random } from './random.js';
