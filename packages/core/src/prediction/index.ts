export { recordLength } from './commands.js';
export { chanceWithin, hasLearned, predictMean, predictRemaining } from './queries.js';
export { createPredictionState, type LengthHistogram, type PredictionState } from './state.js';
