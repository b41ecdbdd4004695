/**
 * Rules of the claim protocol; the state search turns off one at a time to show what each prevents.
 */
export const claimRules = [
  'one-grant',
  'majority',
  'started-later',
  'joined',
  'newer-list',
  'earlier-lists',
  'left-before-issue',
  'hand-over',
  'claim-age',
  'key-age',
] as const;

/** Name of a claim rule. */
export type ClaimRule = (typeof claimRules)[number];

/** Settings of the claim protocol; every VM of a fleet must have the same values. */
export interface ClaimSettings {
  /** Maximum number of witnesses of a key; a majority must grant it. */
  readonly witnesses: number;
  /** How long after its issue a key may be sent again; half of it is the maximum age of a claim. */
  readonly windowMs: number;
  /** Largest difference between two clocks of VMs or callers. */
  readonly skewMs: number;
  /** How long a started VM abstains from granting until a joined peer hands its lists over. */
  readonly startWaitMs: number;
}

/** Default settings of the claim protocol. */
export const defaultClaimSettings: ClaimSettings = {
  witnesses: 3,
  windowMs: 600_000,
  skewMs: 2000,
  startWaitMs: 5000,
};
