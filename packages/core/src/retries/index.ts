export {
  createRetryAllowance,
  earnRepeat,
  takeRepeat,
  type RetryLimits,
  type RetryAllowance,
} from './retryBudget.js';
