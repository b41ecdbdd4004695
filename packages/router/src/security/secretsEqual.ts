import { createHash, timingSafeEqual } from 'node:crypto';

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}

/** Compares two secrets in a time that tells nothing about where they differ. */
export function areSecretsEqual(left: string, right: string): boolean {
  return timingSafeEqual(digest(left), digest(right));
}

/** Says whether a text is one of several secrets; looks at all of them. */
export function isOneOfSecrets(text: string, secrets: readonly string[]): boolean {
  return secrets.map((secret) => areSecretsEqual(text, secret)).includes(true);
}
