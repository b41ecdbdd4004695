export { PeerClient } from './peerClient.js';
export { PeerTask } from './peerTask.js';
export { areSecretsEqual } from './secretsEqual.js';
