import type { Attempt } from './attempt.js';
import type { Arrival } from './callerConnections.js';
import { MAX_UNREAD_AGE_MS } from './loopDelay.js';

/**
 * Where a request was when its caller left: unsent, after it was long unread at this VM (`unread`) or
 * read in time (`inside`); sent to an endpoint or peer that has not answered, and perhaps on its way
 * (`under-way`) or certainly there, as what was sent later has been answered (`queued`); sent for the
 * second time or more (`repeated`); or being answered.
 */
export type RequestPlace = 'unread' | 'inside' | 'under-way' | 'queued' | 'repeated' | 'answering';

/**
 * Returns when the latest bytes left that are known to have arrived in time: at a peer, or at any
 * endpoint for null. Epoch milliseconds.
 */
export type ArrivalProof = (peerId: string | null) => number;

/** Log fields of one send; milliseconds before the caller's leaving was read, null for not yet. */
export interface SendTrace {
  /** Endpoint id, or VM id of the peer that carries the request. */
  readonly to: string | null;
  readonly askedMs: number;
  readonly startedMs: number | null;
  readonly writtenMs: number | null;
  readonly answeredMs: number | null;
}

/** What is logged of a request whose caller left; all ages are in milliseconds. */
export interface RequestTraceFields {
  readonly place: RequestPlace;
  /** Since the request came, at the most, and since it was read. */
  readonly cameMs: number;
  readonly readMs: number;
  /** For which the close may have been unread. */
  readonly closeUnreadMs: number;
  readonly sends: readonly SendTrace[];
}

/** Records where a request has been sent, to tell afterwards where it was when its caller left. */
export class RequestTrace {
  readonly #arrival: Arrival;

  readonly #provenAt: ArrivalProof;

  readonly #attempts: Attempt[] = [];

  constructor(arrival: Arrival, provenAt: ArrivalProof) {
    this.#arrival = arrival;
    this.#provenAt = provenAt;
  }

  /** Adds an attempt that is about to be sent. */
  add(attempt: Attempt): void {
    this.#attempts.push(attempt);
  }

  /** Describes the request at the moment at which its caller's close was read. */
  describe(now: number, closeUnreadMs: number): RequestTraceFields {
    const age = (instant: number | null) => (instant === null ? null : Math.round(now - instant));
    const { earliestAt, readAt } = this.#arrival;
    return {
      place: this.#findPlace(),
      cameMs: Math.round(now - earliestAt),
      readMs: Math.round(now - readAt),
      closeUnreadMs: Math.round(closeUnreadMs),
      sends: this.#attempts.map(({ endpoint, peerId, times }) => ({
        to: endpoint?.id ?? peerId,
        askedMs: Math.round(now - times.askedAt),
        startedMs: age(times.startedAt),
        writtenMs: age(times.writtenAt),
        answeredMs: age(times.answeredAt),
      })),
    };
  }

  #findPlace(): RequestPlace {
    const { earliestAt, readAt } = this.#arrival;
    const sent = this.#attempts.filter(({ times }) => times.startedAt !== null);
    const latest = sent.at(-1);
    if (latest === undefined) {
      return readAt - earliestAt > MAX_UNREAD_AGE_MS ? 'unread' : 'inside';
    }
    if (latest.hasAnswered) return 'answering';
    if (sent.length > 1) return 'repeated';
    const { writtenAt } = latest.times;
    const hasArrived = writtenAt !== null && this.#provenAt(latest.peerId) >= writtenAt;
    return hasArrived ? 'queued' : 'under-way';
  }
}
