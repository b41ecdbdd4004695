export {
  recordLease,
  settleTokens,
  takeTokens,
  takeDueLeaseRequests,
  type LeaseRequest,
} from './commands.js';
export { adoptListRevision, grantLease, pauseGrants, LEASE_MS } from './grantLease.js';
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
