import { currentCredits } from './credits.js';
import type { RequestLimit } from './state.js';

/** Adds to both credits of a limit what the time since the last update has earned. */
export function updateCredits(limit: RequestLimit, now: number): void {
  const { shareCredit, fleetCredit } = currentCredits(limit, now);
  limit.shareCredit = shareCredit;
  limit.fleetCredit = fleetCredit;
  limit.creditedAt = now;
}
