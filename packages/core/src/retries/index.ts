export {
  createRetryBudget,
  creditRequest,
  takeRetry,
  type RetryLimits,
  type RetryBudget,
} from './retryBudget.js';
