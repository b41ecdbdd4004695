/** The priority tiers, in the order in which they are served. */
export const tiers = ['critical', 'standard', 'background'] as const;

/** A priority tier. */
export type Tier = (typeof tiers)[number];

/** Returns the rank of a tier: 0 is served first. */
export function tierRank(tier: Tier): number {
  return tiers.indexOf(tier);
}
