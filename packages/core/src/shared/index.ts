export { digestText, hashText } from './hash.js';
export { createRandom, nextInteger, nextLogNormal, type Random } from './random.js';
export { addToRate, createRate, fadeRate, readRate, type Rate } from './rate.js';
export { firstMember, rankMembers } from './rendezvous.js';
