/** Codes of errors of a connection that was open. */
const CUT_CODES = new Set(['CONNECTION_RESET', 'ECONNRESET', 'EPIPE', 'UND_ERR_SOCKET']);

/** Says whether an error shows that an open connection has ended; it says nothing of its other end. */
export function isConnectionCut(error: unknown): boolean {
  return error instanceof Error && CUT_CODES.has((error as NodeJS.ErrnoException).code ?? '');
}
