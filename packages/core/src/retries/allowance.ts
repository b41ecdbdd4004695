import { addToRate, createRate, fadeRate, type Rate } from '../shared/index.js';

/** The fleet's bound on repeats at a service: a part of its requests, and some besides. */
export interface RepeatBounds {
  /** Repeats for each request within the window. */
  readonly ratio: number;
  /** Repeats besides, for all VMs together, within the window. */
  readonly slack: number;
  readonly windowMs: number;
}

/** This VM's requests and repeats at one service lately. */
interface RepeatCounts {
  readonly requests: Rate;
  readonly repeats: Rate;
}

/** What one VM may repeat at each service; its part needs no word from the other VMs. */
export interface RetryAllowance {
  readonly bounds: RepeatBounds;
  readonly counts: Map<string, RepeatCounts>;
}

/**
 * Part of the bound that is used. A repeat at the start of a window has faded to this part at
 * its end, so the sum below never falls under what a sliding window would count.
 */
const SAFE_PART = 0.6;

/** Repeats fade this many windows slowly. */
const REPEAT_WINDOWS = 2;

/** Creates the allowance of a VM that has repeated nothing. */
export function createRetryAllowance(bounds: RepeatBounds): RetryAllowance {
  return { bounds, counts: new Map() };
}

function countsOf({ bounds, counts }: RetryAllowance, serviceId: string): RepeatCounts {
  let known = counts.get(serviceId);
  if (known === undefined) {
    known = {
      requests: createRate(bounds.windowMs),
      repeats: createRate(bounds.windowMs * REPEAT_WINDOWS),
    };
    counts.set(serviceId, known);
  }
  return known;
}

/** Lets a first request at a service earn its part of a repeat. */
export function earnRepeat(allowance: RetryAllowance, serviceId: string, now: number): void {
  addToRate(countsOf(allowance, serviceId).requests, 1, now);
}

/** Takes one repeat at a service; false when the VM's part is used up. */
export function takeRepeat(
  allowance: RetryAllowance,
  serviceId: string,
  vms: number,
  now: number,
): boolean {
  const { ratio, slack } = allowance.bounds;
  const { requests, repeats } = countsOf(allowance, serviceId);
  const most = SAFE_PART * (ratio * fadeRate(requests, now) + slack / vms);
  if (fadeRate(repeats, now) + 1 > most) return false;
  addToRate(repeats, 1, now);
  return true;
}
