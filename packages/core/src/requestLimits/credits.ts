import type { RequestLimit } from './state.js';

const MS_PER_SECOND = 1000;

/** Credit that a less urgent request needs in addition, and leaves to the next urgent one. */
export const URGENT_RESERVE = 0.5;

/** Requests that all VMs together may send at once. */
const FLEET_BURST = 4;

/** Time for which unused credit is kept. */
const CREDIT_MS = 500;

/**
 * Factor of the limit that all VMs together may send, as far as they have heard of each other. Above
 * 1, so that it binds only when their shares add up to more than the limit.
 */
const FLEET_FACTOR = 1.1;

/** Least limit that is kept to: without any request the end of a limit would not be heard. */
const MIN_PER_SECOND = 0.05;

/** Both credits of a limit. */
export type Credits = Pick<RequestLimit, 'shareCredit' | 'fleetCredit'>;

/** Returns the requests a second that a limit allows to all VMs together. */
export function allowedPerSecond({ perSecond }: RequestLimit): number {
  return Math.max(MIN_PER_SECOND, perSecond ?? Number.POSITIVE_INFINITY);
}

function addCredit(credit: number, added: number, most: number): number {
  return Math.min(most, credit + added);
}

/** Returns the credits of a limit at a time. */
export function currentCredits(limit: RequestLimit, now: number): Credits {
  const { sharePerSecond, shareCredit, fleetCredit, creditedAt, perSecond } = limit;
  if (perSecond === null) return { shareCredit, fleetCredit };
  const elapsedSeconds = Math.max(0, now - creditedAt) / MS_PER_SECOND;
  const keptSeconds = CREDIT_MS / MS_PER_SECOND;
  const fleetPerSecond = allowedPerSecond(limit) * FLEET_FACTOR;
  return {
    shareCredit: addCredit(
      shareCredit,
      sharePerSecond * elapsedSeconds,
      Math.max(1 + URGENT_RESERVE, sharePerSecond * keptSeconds),
    ),
    fleetCredit: addCredit(
      fleetCredit,
      fleetPerSecond * elapsedSeconds,
      Math.max(FLEET_BURST, fleetPerSecond * keptSeconds),
    ),
  };
}

/** Returns the time until a limit has some credit, in milliseconds; 0 when it has it now. */
export function timeToCredit(limit: RequestLimit, credit: number, now: number): number {
  const { shareCredit, fleetCredit } = currentCredits(limit, now);
  const fleetPerSecond = allowedPerSecond(limit) * FLEET_FACTOR;
  const shareSeconds = Math.max(0, credit - shareCredit) / limit.sharePerSecond;
  const fleetSeconds = Math.max(0, Math.min(1, credit) - fleetCredit) / fleetPerSecond;
  return Math.max(shareSeconds || 0, fleetSeconds) * MS_PER_SECOND;
}
