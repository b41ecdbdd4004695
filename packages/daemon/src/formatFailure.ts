/** Formats the log line of an error that ends the process; `origin` says where nothing handled it. */
export function formatFailure(error: unknown, origin: string): string {
  return JSON.stringify({
    level: 'error',
    message: 'process_failed',
    error: error instanceof Error ? (error.stack ?? error.message) : String(error),
    origin,
    timestamp: new Date().toISOString(),
  });
}
