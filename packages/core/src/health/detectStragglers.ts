import { ejectEndpoint, restoreEndpoint } from './commands.js';
import { createEndpointHealth, type HealthState } from './state.js';

/** Shortest time between two scans. */
const SCAN_INTERVAL_MS = 250;

/** An endpoint is slow when its token gap exceeds the pool's median by this factor. */
const STRAGGLER_FACTOR = 4;

/** On probation an endpoint is restored when its token gap is below this factor of the median. */
const RESTORE_FACTOR = 2;

/** Consecutive slow scans that eject an endpoint. */
const SCANS_TO_EJECT = 2;

/** Fewest endpoints with a recent measurement that a comparison needs. */
const MIN_ENDPOINTS_TO_COMPARE = 3;

/** Oldest token gap that a comparison uses. */
const MAX_GAP_AGE_MS = 5000;

/** Weight of the latest scan in the smoothed token gap. */
const GAP_SMOOTHING = 0.5;

/** Progress of a stream after its first token. */
export interface StreamProgress {
  readonly attemptId: string;
  readonly endpointId: string;
  /** Tokens produced so far. */
  readonly produced: number;
}

/** A change of an endpoint's phase. */
export interface PhaseChange {
  readonly endpointId: string;
  readonly phase: 'ejected' | 'healthy';
}

/** Returns whether a scan is due. */
export function isScanDue(state: HealthState, now: number): boolean {
  return now - state.scannedAt >= SCAN_INTERVAL_MS;
}

/** Measures the time between tokens at each endpoint, over the streams that the last scan saw. */
export function measureTokenGaps(
  state: HealthState,
  streams: readonly StreamProgress[],
  now: number,
): void {
  const elapsedMs = now - state.scannedAt;
  state.scannedAt = now;
  const progress = new Map<string, number>();
  const sums = new Map<string, { streams: number; tokens: number }>();
  for (const { attemptId, endpointId, produced } of streams) {
    progress.set(attemptId, produced);
    const previous = state.tokensByAttempt.get(attemptId);
    if (previous === undefined) continue;
    const sum = sums.get(endpointId) ?? { streams: 0, tokens: 0 };
    sum.streams += 1;
    sum.tokens += produced - previous;
    sums.set(endpointId, sum);
  }
  state.tokensByAttempt = progress;
  sums.forEach((sum, endpointId) => {
    const health = state.endpoints.get(endpointId) ?? createEndpointHealth();
    state.endpoints.set(endpointId, health);
    const gapMs = (elapsedMs * sum.streams) / Math.max(1, sum.tokens);
    health.tokenGapAt = now;
    health.tokenGapMs =
      health.tokenGapMs === null
        ? gapMs
        : health.tokenGapMs + GAP_SMOOTHING * (gapMs - health.tokenGapMs);
  });
}

function computeMedian(values: number[]): number {
  values.sort((a, b) => a - b);
  return values[Math.floor((values.length - 1) / 2)]!;
}

/** Ejects the stragglers of a pool, and restores its endpoints on probation that keep up. */
export function detectStragglers(
  state: HealthState,
  endpointIds: readonly string[],
  now: number,
): PhaseChange[] {
  const measured = endpointIds.flatMap((id) => {
    const health = state.endpoints.get(id);
    if (health?.tokenGapMs == null || now - health.tokenGapAt > MAX_GAP_AGE_MS) return [];
    return [{ id, health, gapMs: health.tokenGapMs }];
  });
  if (measured.length < MIN_ENDPOINTS_TO_COMPARE) return [];
  const median = computeMedian(measured.map(({ gapMs }) => gapMs));
  const changes: PhaseChange[] = [];
  for (const { id, health, gapMs } of measured) {
    if (health.tokenGapAt < now) continue;
    const isSlow = gapMs > STRAGGLER_FACTOR * median;
    health.slowScans = isSlow ? health.slowScans + 1 : 0;
    if (health.phase !== 'ejected' && health.slowScans >= SCANS_TO_EJECT) {
      ejectEndpoint(state, id, 'straggler', now);
      changes.push({ endpointId: id, phase: 'ejected' });
    } else if (health.phase === 'probation' && gapMs < RESTORE_FACTOR * median) {
      restoreEndpoint(state, id);
      changes.push({ endpointId: id, phase: 'healthy' });
    }
  }
  return changes;
}
