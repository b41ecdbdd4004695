import { HistoryLostError, type PublicationSource, type PublishedEntry } from './publication.js';

/** Revisions that are read back first; four times as many each time that succeeds. */
const FIRST_DISTANCE = 64;

/** Time-out of each call. */
const CALL_TIMEOUT_MS = 3000;

/** Changes of endpoints before a revision, as far back as the store has kept them. */
export interface VersionHistory {
  /** Oldest first. */
  readonly entries: readonly PublishedEntry[];
  /** Time that the changes cover, in milliseconds; infinite when all were kept. */
  readonly spanMs: number;
}

/** Reads what endpoints have registered before a revision; rejects when the store does not answer. */
export async function readVersionHistory(
  source: PublicationSource,
  revision: number,
  signal: AbortSignal,
): Promise<VersionHistory> {
  let entries: readonly PublishedEntry[] = [];
  for (let distance = FIRST_DISTANCE; ; distance *= 4) {
    const after = Math.max(0, revision - distance);
    const timeout = AbortSignal.any([signal, AbortSignal.timeout(CALL_TIMEOUT_MS)]);
    try {
      ({ entries } = await source.watch('endpoints', after, timeout));
    } catch (error) {
      if (!(error instanceof HistoryLostError)) throw error;
      return { entries, spanMs: source.measureSpan?.(entries) ?? 0 };
    }
    if (after === 0) return { entries, spanMs: Number.POSITIVE_INFINITY };
  }
}
