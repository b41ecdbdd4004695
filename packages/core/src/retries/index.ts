export {
  createRetryAllowance,
  earnRepeat,
  takeRepeat,
  type RepeatBounds,
  type RetryAllowance,
} from './allowance.js';
