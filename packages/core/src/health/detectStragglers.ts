import { ejectEndpoint, restoreEndpoint } from './commands.js';
import { createEndpointHealth, type HealthState } from './state.js';

const SCAN_INTERVAL_MS = 250;

/** Streams this much slower than the pool's median are a straggler's. */
const SLOW_FACTOR = 4;

/** On probation an endpoint must come this near to the median to be restored. */
const RESTORE_FACTOR = 2;

const SCANS_TO_EJECT = 2;

/** A comparison needs so many endpoints that stream. */
const FEWEST_TO_COMPARE = 3;

/** A measurement older than this is not compared with. */
const OLDEST_GAP_MS = 5000;

const GAIN = 0.5;

/** A stream that has had its first token. */
export interface StreamProgress {
  readonly attemptId: string;
  readonly endpointId: string;
  readonly produced: number;
}

/** A change of an endpoint's phase. */
export interface PhaseChange {
  readonly endpointId: string;
  readonly phase: 'ejected' | 'healthy';
}

/** Says whether it is time to scan. */
export function isScanDue(state: HealthState, now: number): boolean {
  return now - state.scannedAt >= SCAN_INTERVAL_MS;
}

/** Measures the time between tokens at each endpoint since the last scan. */
export function scanProgress(
  state: HealthState,
  streams: readonly StreamProgress[],
  now: number,
): void {
  const elapsed = now - state.scannedAt;
  state.scannedAt = now;
  const progress = new Map<string, number>();
  const seen = new Map<string, { streams: number; tokens: number }>();
  for (const { attemptId, endpointId, produced } of streams) {
    progress.set(attemptId, produced);
    const before = state.progress.get(attemptId);
    if (before === undefined) continue;
    const sum = seen.get(endpointId) ?? { streams: 0, tokens: 0 };
    sum.streams += 1;
    sum.tokens += produced - before;
    seen.set(endpointId, sum);
  }
  state.progress = progress;
  seen.forEach((sum, endpointId) => {
    const health = state.endpoints.get(endpointId) ?? createEndpointHealth();
    state.endpoints.set(endpointId, health);
    const gapMs = (elapsed * sum.streams) / Math.max(1, sum.tokens);
    health.gapAt = now;
    health.gapMs = health.gapMs === null ? gapMs : health.gapMs + GAIN * (gapMs - health.gapMs);
  });
}

function medianOf(values: number[]): number {
  values.sort((a, b) => a - b);
  return values[Math.floor((values.length - 1) / 2)]!;
}

/** Compares the endpoints of a pool: ejects stragglers, restores those that kept up. */
export function compareMembers(
  state: HealthState,
  endpointIds: readonly string[],
  now: number,
): PhaseChange[] {
  const measured = endpointIds.flatMap((id) => {
    const health = state.endpoints.get(id);
    if (health?.gapMs == null || now - health.gapAt > OLDEST_GAP_MS) return [];
    return [{ id, health, gapMs: health.gapMs }];
  });
  if (measured.length < FEWEST_TO_COMPARE) return [];
  const median = medianOf(measured.map(({ gapMs }) => gapMs));
  const changes: PhaseChange[] = [];
  for (const { id, health, gapMs } of measured) {
    if (health.gapAt < now) continue;
    const isSlow = gapMs > SLOW_FACTOR * median;
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
