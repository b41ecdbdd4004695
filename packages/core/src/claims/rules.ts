/**
 * Rules of the claim protocol. The state search of the bench package turns off one at a time to show
 * what each prevents.
 */
export const claimRules = [
  // A witness grants a key to one attempt only.
  'one-grant',
  // A claim needs grants from a majority of the witnesses.
  'majority',
  // A witness abstains for a key issued before it started: it may have lost an earlier grant.
  'started-later',
  // A VM that has just started neither claims nor grants; `hasJoined` says until when.
  'joined',
  // A witness abstains from a claim under an older VM list than its own.
  'newer-list',
  // A claim must be secured under each earlier list that is not retired, too.
  'earlier-lists',
  // A witness counts as no longer granting under a list only if it moved on before the key's issue.
  'left-before-issue',
  // A VM adopts all lists that a peer hands over, those older than the peer's current one included.
  'hand-over',
  // A claim that exceeds its maximum age is lost.
  'claim-age',
  // A witness abstains for a key issued too long ago, or in the future.
  'key-age',
] as const;

/** Name of a claim rule. */
export type ClaimRule = (typeof claimRules)[number];

/** Settings of the claim protocol; every VM of a fleet must have the same values. */
export interface ClaimSettings {
  /** Maximum number of witnesses of a key; a majority must grant it. */
  readonly witnesses: number;
  /**
   * How long after its issue a key may be sent again, in milliseconds; half of it is the maximum
   * age of a claim.
   */
  readonly windowMs: number;
  /** Largest difference between any two clocks of VMs and callers, in milliseconds. */
  readonly skewMs: number;
  /**
   * Longest time for which a VM that has started waits, without claiming or granting, for a joined
   * peer to hand over its lists; in milliseconds.
   */
  readonly startWaitMs: number;
}

/** Default settings of the claim protocol. */
export const defaultClaimSettings: ClaimSettings = {
  witnesses: 3,
  windowMs: 600_000,
  skewMs: 2000,
  startWaitMs: 5000,
};
