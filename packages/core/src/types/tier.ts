/** The service tiers, first served first. */
export const tiers = ['critical', 'standard', 'background'] as const;

/** One of the service tiers. */
export type Tier = (typeof tiers)[number];

/** Returns the position of a tier: 0 is served first. */
export function tierRank(tier: Tier): number {
  return tiers.indexOf(tier);
}
