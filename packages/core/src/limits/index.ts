export { recordLease, settleTokens, takeTokens, takeWishes, type Wish } from './commands.js';
export { adoptRevision, grantLease, holdGrants, LEASE_MS } from './grantLease.js';
export { listLimits, computeAllowedRate } from './queries.js';
export {
  createLimitState,
  type LeaseHolder,
  type TokenBucket,
  type CoordinatedLimit,
  type CoordinatorState,
  type LeaseGrant,
  type LimitState,
} from './state.js';
