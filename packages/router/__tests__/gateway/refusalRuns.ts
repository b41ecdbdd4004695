/** A request without a crashing segment. */
export interface SoundSend {
  /** Instant of its send, in milliseconds. */
  readonly at: number;
  readonly isCounted: boolean;
  readonly firstSegment: string;
  outcome: 'served' | 'refused' | 'failed';
}

/** Requests with one first segment, of which most are refused for it and none is served. */
interface RefusalRun {
  readonly since: number;
  refused: number;
  failed: number;
}

/**
 * Returns the longest time in which most requests with one first segment were refused for it, in
 * milliseconds.
 */
export function measureLongestRefusal(sends: readonly SoundSend[]): number {
  let longest = 0;
  const runs = new Map<string, RefusalRun>();
  [...sends]
    .sort((a, b) => a.at - b.at)
    .forEach(({ at, firstSegment, outcome }) => {
      const run = runs.get(firstSegment) ?? { since: at, refused: 0, failed: 0 };
      if (outcome === 'refused') {
        run.refused += 1;
        runs.set(firstSegment, run);
        longest = Math.max(longest, at - run.since);
      } else {
        run.failed += 1;
        // One that fails may be a trial; where most do there is no endpoint.
        if (outcome === 'served' || run.failed > run.refused) runs.delete(firstSegment);
      }
    });
  return longest;
}
