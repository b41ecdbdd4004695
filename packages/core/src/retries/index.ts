export {
  createRetryBudget,
  earnRetry,
  takeRetry,
  type RetryLimits,
  type RetryBudget,
} from './retryBudget.js';
