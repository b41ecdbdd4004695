/** When one send of a request left this process and was answered; epoch milliseconds, null before. */
export interface SendTimes {
  /** It was to be sent, and waited for a connection from then on. */
  readonly askedAt: number;
  /** Its first byte was written. */
  startedAt: number | null;
  /** The operating system had its last byte. */
  writtenAt: number | null;
  /** The first bytes of the answer were read. */
  answeredAt: number | null;
}

/** Creates the times of a send that waits for a connection from now on. */
export function createSendTimes(now: number): SendTimes {
  return { askedAt: now, startedAt: null, writtenAt: null, answeredAt: null };
}
