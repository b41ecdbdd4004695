export {
  recordLimitedSend,
  recordNamedLimit,
  recordUnlimitedAnswer,
  removeRequestLimits,
  resetRequestLimit,
  type AnsweredRequest,
} from './commands.js';
export {
  countLimitedEndpoints,
  describeRequestLimit,
  getRequestLimit,
  type RequestLimitDescription,
} from './queries.js';
export { createRequestLimitState, type RequestLimit, type RequestLimitState } from './state.js';
