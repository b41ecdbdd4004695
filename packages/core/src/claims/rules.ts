/** Rules of claims that the search can turn off one at a time, to show what each is for. */
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

/** Name of a rule. */
export type ClaimRule = (typeof claimRules)[number];

/** Numbers that govern claims; all VMs of a fleet have the same. */
export interface ClaimSettings {
  /** Most witnesses of a key; a majority of them must grant it. */
  readonly witnesses: number;
  /** How long a key is held, and the longest time after its issue that it may be sent again. */
  readonly windowMs: number;
  /** Largest difference between two clocks, those of callers included. */
  readonly skewMs: number;
  /** How long a VM that has met no older peer abstains after its start. */
  readonly startWaitMs: number;
}

/** Settings of a fleet whose operators have set none. */
export const defaultClaimSettings: ClaimSettings = {
  witnesses: 3,
  windowMs: 600_000,
  skewMs: 2000,
  startWaitMs: 5000,
};
