export {
  FAILED_ENDPOINTS_TO_LOSE,
  recordContact,
  recordFailedContact,
  recordPeerContact,
  removeStaleContacts,
  type FailureSign,
} from './commands.js';
export {
  chooseTransitPeer,
  hasFailed,
  isCutOff,
  lastContactAt,
  lastPeerContactAt,
  listLostServices,
  listTransitPeers,
  lostSince,
  MAX_PEER_SILENCE_MS,
  wasCutOffSince,
  type TransitChoice,
  type TransitPeer,
} from './queries.js';
export {
  createContactState,
  type ContactState,
  type PeerContact,
  type ServiceContact,
} from './state.js';
