import { createHash, timingSafeEqual } from 'node:crypto';

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}

/** Compares two secrets in a time that does not reveal where they differ. */
export function areSecretsEqual(left: string, right: string): boolean {
  return timingSafeEqual(digest(left), digest(right));
}

/** Returns whether a text is one of several secrets; compares all, so that timing reveals none. */
export function isOneOfSecrets(text: string, secrets: readonly string[]): boolean {
  return secrets.map((secret) => areSecretsEqual(text, secret)).includes(true);
}
