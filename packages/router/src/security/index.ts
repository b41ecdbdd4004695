export { CredentialTask } from './credentialTask.js';
export type { Credentials, TlsMaterial } from './credentials.js';
export { areSecretsEqual, isOneOfSecrets } from './secretsEqual.js';
