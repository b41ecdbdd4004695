export { recordLength } from './commands.js';
export { predictMean, predictRemaining } from './queries.js';
export { createPredictionState, type LengthHistogram, type PredictionState } from './state.js';
