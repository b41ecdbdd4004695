/** The fleet's bound on repeats at a service: a part of its requests, and some besides. */
export interface RepeatBounds {
  /** Repeats for each request within the window. */
  readonly ratio: number;
  /** Repeats besides, for all VMs together, within the window. */
  readonly slack: number;
  readonly windowMs: number;
}

/** What one VM may repeat at each service; its part needs no word from the other VMs. */
export interface RetryAllowance {
  readonly bounds: RepeatBounds;
  /** Repeats saved by service. */
  readonly saved: Map<string, { repeats: number; at: number }>;
}

/** Part of the bound that is used, since windows slide and VMs are counted late. */
const SAFE_PART = 0.6;

/** Creates the allowance of a VM that has repeated nothing. */
export function createRetryAllowance(bounds: RepeatBounds): RetryAllowance {
  return { bounds, saved: new Map() };
}

function refill(allowance: RetryAllowance, serviceId: string, vms: number, now: number) {
  const { slack, windowMs } = allowance.bounds;
  const most = (SAFE_PART * slack) / vms;
  const saved = allowance.saved.get(serviceId) ?? { repeats: most, at: now };
  // All of it may be spent at once, so only half comes back over a window.
  const earned = (most * Math.max(0, now - saved.at)) / (2 * windowMs);
  saved.repeats = Math.min(most, saved.repeats + earned);
  saved.at = now;
  allowance.saved.set(serviceId, saved);
  return saved;
}

/** Lets a first request at a service earn its part of a repeat. */
export function earnRepeat(
  allowance: RetryAllowance,
  serviceId: string,
  vms: number,
  now: number,
): void {
  refill(allowance, serviceId, vms, now).repeats += SAFE_PART * allowance.bounds.ratio;
}

/** Takes one repeat at a service; false when the VM's part is used up. */
export function takeRepeat(
  allowance: RetryAllowance,
  serviceId: string,
  vms: number,
  now: number,
): boolean {
  const saved = refill(allowance, serviceId, vms, now);
  if (saved.repeats < 1) return false;
  saved.repeats -= 1;
  return true;
}
