export { recordLease, settleTokens, takeTokens, takeWishes, type Wish } from './commands.js';
export { adoptRevision, grantLease, holdGrants, LEASE_MS } from './grantLease.js';
export { listLimits, passRate } from './queries.js';
export {
  createLimitState,
  type Asker,
  type Bucket,
  type Coordinated,
  type Coordination,
  type LeasedPart,
  type LimitState,
} from './state.js';
