import type { KeyTerm } from './evidence.js';
import { ACCOUNT } from './traffic.js';

/** Keys of the callers' account: two are in force, of which the older one is the next to go. */
export class KeyRing {
  readonly terms: KeyTerm[] = [];

  constructor() {
    this.#add(0);
    this.#add(0);
  }

  /** Keys in force, oldest first. */
  get keys(): readonly string[] {
    return this.terms.filter(({ revokedAt }) => revokedAt === null).map(({ key }) => key);
  }

  /** Key that has been in force longest. */
  get current(): string {
    return this.keys[0] ?? ACCOUNT.key;
  }

  /** Key that went last; null if none has gone. */
  get latestRevoked(): string | null {
    return this.terms.findLast(({ revokedAt }) => revokedAt !== null)?.key ?? null;
  }

  /** Revokes the oldest key and adds one. */
  rotate(at: number): void {
    const oldest = this.terms.find(({ revokedAt }) => revokedAt === null);
    if (oldest !== undefined) oldest.revokedAt = at;
    this.#add(at);
  }

  #add(at: number): void {
    const key = this.terms.length === 0 ? ACCOUNT.key : `${ACCOUNT.key}-${this.terms.length}`;
    this.terms.push({ key, addedAt: at, revokedAt: null });
  }
}
