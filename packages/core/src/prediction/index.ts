export { recordAnswerLength } from './commands.js';
export {
  probabilityOfEndWithin,
  hasEnoughAnswers,
  predictMeanTokens,
  predictRemainingTokens,
} from './queries.js';
export { createPredictionState, type LengthHistogram, type PredictionState } from './state.js';
