/** Returns the instant now in epoch milliseconds; never goes back within a process. */
export function now(): number {
  return performance.timeOrigin + performance.now();
}
