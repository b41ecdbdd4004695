/**
 * How far the platform's store was read. The era rises each time the store comes back from an older
 * copy; its revisions then go back and are given out again.
 */
export interface StorePosition {
  /** Null when the store has named none, or a peer of older software doesn't. */
  readonly era: number | null;
  readonly revision: number;
}

/** Compares two eras: negative when the first is earlier, 0 also when one is unknown. */
export function compareEras(first: number | null, second: number | null): number {
  return first === null || second === null ? 0 : first - second;
}

/** Compares two positions, by era and then by revision: negative when the first is earlier. */
export function comparePositions(first: StorePosition, second: StorePosition): number {
  return compareEras(first.era, second.era) || first.revision - second.revision;
}
