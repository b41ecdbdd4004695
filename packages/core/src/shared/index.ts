export { digestText, hashText } from './hash.js';
export { createRandom, randomInteger, randomLogNormal, type Random } from './random.js';
export { addToRate, createDecayingRate, decayedSum, ratePerMs, type DecayingRate } from './rate.js';
export { highestRankedMember, isRankedAmong, rankMembers } from './rendezvous.js';
