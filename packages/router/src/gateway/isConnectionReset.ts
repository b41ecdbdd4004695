/**
 * Says whether an error shows that a host accepted a connection and reset it, perhaps before this
 * process saw it open; where nothing listens, it is refused.
 */
export function isConnectionReset(error: unknown): boolean {
  return error instanceof Error && (error as NodeJS.ErrnoException).code === 'ECONNRESET';
}
