import type { RegisteredEndpoint, StreamOrigin } from '@filbertlatch/core';

import type { HeldBody } from '../memory/index.js';
import type { AttemptFailure } from './endpointRequest.js';
import type { SendTimes } from './sendTimes.js';

/** Status of an answer and its headers as a flat list of names and values. */
export interface RawAnswerHead {
  readonly status: number;
  readonly headers: readonly string[];
}

/** A caller's request as an attempt sends it on. */
export interface AttemptRequest {
  readonly method: string;
  readonly path: string;
  /** The caller's headers without the hop-by-hop ones; flat list of names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer | null;
  /** Room of the body; null without a body. */
  readonly held: HeldBody | null;
  /** Id of the last event that was sent to the caller; null for a new stream. */
  readonly lastEventId: string | null;
  /** Says whether an answer is taken for the end of the stream though it has neither events nor a length. */
  acceptsEmptyRest(): boolean;
}

/** An error that a peer answers itself. */
export interface PeerRefusal {
  readonly status: number;
  readonly reason: string;
  readonly retryAfterMs: number | null;
}

/** Receives the events of an attempt; each event but `sent`, `streamed` and `livedOn` is the last. */
export interface AttemptObserver {
  /** Says whether the caller still waits. */
  isAwaited(): boolean;
  /** The request leaves for an endpoint. */
  sent(): void;
  /** Receives bytes of a stream; returns false to pause until `Attempt.resume`. */
  streamed(head: RawAnswerHead, bytes: Buffer): boolean;
  /** The endpoint still sends the stream some time after it began: it has not crashed. */
  livedOn(): void;
  /** The stream ended after a complete event. */
  streamEnded(head: RawAnswerHead): void;
  /** A complete answer that is not a stream arrived. */
  answered(head: RawAnswerHead, body: Buffer): void;
  /** The request did not run. */
  notRun(reason: string): void;
  /** The request was not sent: the endpoint takes no requests any more. */
  withheld(): void;
  /** A peer refuses the request for good. */
  refused(refusal: PeerRefusal): void;
  /** The attempt failed and the request may have run. */
  failed(failure: AttemptFailure): void;
}

/** One attempt to have a request answered. */
export interface Attempt {
  /** Null when another VM chooses it. */
  readonly endpoint: RegisteredEndpoint | null;
  /** VM that carries the request; null when this one sends it to an endpoint. */
  readonly peerId: string | null;
  /** Where its stream began; null before the first event, and for what is no stream. */
  readonly origin: StreamOrigin | null;
  /** Expected time to the first event or answer, in milliseconds. */
  readonly predictedMs: number;
  /** Limit of the endpoint that this VM knew when it sent the request; null without one. */
  readonly requestLimit: number | null;
  /** True when it has ended or was cancelled. */
  readonly isOver: boolean;
  /** True while this VM does not read the answer, for want of memory. */
  readonly isPaused?: boolean;
  /** True when bytes of the request may have been sent. */
  readonly mayHaveSent: boolean;
  /** True when the request was sent to an endpoint: by this VM, or by a peer that has said so. */
  readonly isAtEndpoint: boolean;
  /** True when the status and headers have arrived. */
  readonly hasAnswered: boolean;
  /** When it left this process and was answered. */
  readonly times: SendTimes;
  /** Sends the request. */
  send(request: AttemptRequest): void;
  /** Resumes a paused stream. */
  resume(): void;
  /** Cancels the attempt; the observer receives no further events. */
  cancel(outcome: 'stuck' | 'timed-out' | 'abandoned'): void;
  /** Gives up an answer whose endpoint is being checked, when there is no time left for the check. */
  endUnchecked?(): void;
}
