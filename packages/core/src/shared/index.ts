export { hashNumber, hashText } from './hash.js';
export { createRandom, nextInteger, type Random } from './random.js';
