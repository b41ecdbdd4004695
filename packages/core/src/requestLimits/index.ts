export {
  recordLimitedSend,
  recordNamedLimit,
  recordServiceArrival,
  recordUnlimitedAnswer,
  resetRequestLimit,
  type AnsweredRequest,
} from './commands.js';
export { divideRequestLimits, removeStaleLimits } from './divideLimits.js';
export {
  listArrivals,
  recordPeerArrivals,
  recordPeerLimits,
  recordPeerSends,
  takeLimitReports,
  takeSendReports,
  type LimitReport,
  type LimitReports,
  type SendReport,
} from './limitReports.js';
export {
  countLimitedEndpoints,
  createRequestPermits,
  describeRequestLimit,
  getRequestLimit,
  timeToHealthCheck,
  UNLIMITED,
  type RequestLimitDescription,
  type RequestPermits,
} from './queries.js';
export {
  createRequestLimitState,
  type PeerArrivals,
  type RequestLimit,
  type RequestLimitState,
} from './state.js';
