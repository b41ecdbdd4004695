import type { RegisteredEndpoint } from '../directory/index.js';

/** Longest pause that is kept to; an endpoint that still wants one then asks again. */
const MAX_PAUSE_MS = 60_000;

interface Pause {
  /** Lifetime of the endpoint that asked for it. */
  readonly startedAt: number | null;
  /** Epoch milliseconds. */
  readonly endsAt: number;
}

/** Until when endpoints want nothing from this VM; by endpoint id. */
export interface PauseState {
  readonly pauses: Map<string, Pause>;
}

/** Creates the state of a VM that no endpoint has asked for a pause. */
export function createPauseState(): PauseState {
  return { pauses: new Map() };
}

/** Records that an endpoint wants nothing for a time; of several pauses the latest end counts. */
export function recordPause(
  { pauses }: PauseState,
  { id, startedAt }: RegisteredEndpoint,
  pauseMs: number,
  now: number,
): void {
  const known = pauses.get(id);
  const knownEnd = known?.startedAt === startedAt ? (known?.endsAt ?? 0) : 0;
  const endsAt = Math.max(knownEnd, now + Math.min(MAX_PAUSE_MS, pauseMs));
  pauses.set(id, { startedAt, endsAt });
}

/** Returns the time until an endpoint takes requests of this VM again, in milliseconds. */
export function pauseLeftMs(
  { pauses }: PauseState,
  { id, startedAt }: RegisteredEndpoint,
  now: number,
): number {
  const pause = pauses.get(id);
  return pause?.startedAt === startedAt ? Math.max(0, (pause?.endsAt ?? 0) - now) : 0;
}

/** Removes the pauses that are over. */
export function removeEndedPauses({ pauses }: PauseState, now: number): void {
  pauses.forEach(({ endsAt }, id) => {
    if (endsAt <= now) pauses.delete(id);
  });
}
