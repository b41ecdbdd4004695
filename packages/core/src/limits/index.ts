export { takeTokens } from './commands.js';
export { listLimits } from './queries.js';
export { createLimitState, type Bucket, type LimitState } from './state.js';
