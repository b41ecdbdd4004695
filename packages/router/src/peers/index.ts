export { PeerClient } from './peerClient.js';
export { PeerTask } from './peerTask.js';
