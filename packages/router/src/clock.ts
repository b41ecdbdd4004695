/** Returns the current time in epoch milliseconds; it never goes back within a process. */
export function now(): number {
  return performance.timeOrigin + performance.now();
}
