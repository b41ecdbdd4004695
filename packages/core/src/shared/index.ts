export { digestText, hashText } from './hash.js';
export { createRandom, nextInteger, type Random } from './random.js';
export { firstMember, rankMembers } from './rendezvous.js';
