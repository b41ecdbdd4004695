import type { ServerResponse } from 'node:http';

import { now } from '../clock.js';
import type { AdmittedRequest } from './admitRequest.js';
import { AnswerTimes } from './answerTimes.js';
import type { Attempt, RawAnswerHead } from './attempt.js';
import type { CallerAnswer } from './callerAnswer.js';
import type { EndpointChoice } from './endpointChoice.js';
import { EventSplitter } from './eventSplitter.js';
import type { GatewayContext } from './gatewayContext.js';
import type { ReceivedRequest } from './handleRequest.js';

/** Writes to one caller what its attempts bring, event by event where another may go on. */
export class CallerStream {
  readonly times = new AnswerTimes();

  readonly #context: GatewayContext;

  readonly #admitted: AdmittedRequest;

  readonly #response: ServerResponse;

  readonly #answer: CallerAnswer;

  readonly #choice: EndpointChoice;

  /** Holds back incomplete events; null unless the route's streams can be resumed. */
  readonly #eventSplitter: EventSplitter | null;

  constructor(
    context: GatewayContext,
    admitted: AdmittedRequest,
    { response, answer }: ReceivedRequest,
    choice: EndpointChoice,
  ) {
    this.#context = context;
    this.#admitted = admitted;
    this.#response = response;
    this.#answer = answer;
    this.#choice = choice;
    const { repetition, isResumable } = admitted.route;
    const { lastEventId = null, origin = null } = admitted.transit ?? {};
    const isSplit = repetition === 'streaming' && isResumable;
    this.#eventSplitter = isSplit ? new EventSplitter(lastEventId) : null;
    if (isSplit) this.#choice.origin = origin;
  }

  /** True when another attempt can go on after the last event. */
  get isResumable(): boolean {
    return this.#eventSplitter !== null;
  }

  /** True when the caller takes up a stream that another request began. */
  get isTakenUp(): boolean {
    return this.isResumable && this.#admitted.metadata.lastEventId !== null;
  }

  /** True when the caller has begun to read an answer. */
  get hasBegun(): boolean {
    return this.#response.headersSent;
  }

  /** Id of the last event that the caller was sent; null for none, or a stream that cannot be resumed. */
  get lastEventId(): string | null {
    return this.#eventSplitter?.lastEventId ?? null;
  }

  /** Logs where a stream goes on that another attempt has begun: of this request, or another. */
  logResume({ endpoint, peerId }: Attempt, from: Attempt | null): void {
    const { job, metadata } = this.#admitted;
    const { id: endpointId, version } = endpoint ?? {};
    const fields = { requestId: job.id, endpointId, version, peer: peerId ?? undefined };
    const { log } = this.#context;
    if (this.hasBegun) {
      const fromVersion = this.#choice.origin?.version;
      log.decision('stream_resumed', { ...fields, from: from?.endpoint?.id, fromVersion });
    } else if (metadata.lastEventId !== null) {
      log.decision('stream_taken_up', { ...fields, resumes: metadata.resumedRequestId });
    }
  }

  /** Writes what is complete of the bytes of an attempt; false when there is nothing to write. */
  write(attempt: Attempt, head: RawAnswerHead, chunk: Buffer): boolean {
    const bytes = this.#eventSplitter === null ? chunk : this.#eventSplitter.push(chunk);
    if (bytes.length === 0) return false;
    this.recordAnswer();
    this.#begin(attempt, head);
    if (!this.#response.write(bytes)) this.#response.once('drain', () => attempt.resume());
    return true;
  }

  /** True while the caller is behind with reading. */
  get isFull(): boolean {
    return this.#response.writableNeedDrain;
  }

  /** Discards an incomplete event: another attempt goes on after the last complete one. */
  dropPartial(): void {
    this.#eventSplitter?.dropPartial();
  }

  /** Ends the stream. */
  end(attempt: Attempt, head: RawAnswerHead): void {
    this.#begin(attempt, head);
    this.#response.end();
  }

  /** Records that the caller gets an answer, or events, now. */
  recordAnswer(): void {
    const instant = now();
    if (!this.times.record(instant)) return;
    const { arrival, route } = this.#admitted;
    this.#context.metrics.observeFirstAnswer(route.id, instant - arrival.earliestAt);
  }

  #begin(attempt: Attempt, head: RawAnswerHead): void {
    if (this.hasBegun) return;
    if (this.isResumable) this.#recordOrigin(attempt);
    this.#answer.beginStream(head, this.#choice.origin);
  }

  #recordOrigin(attempt: Attempt): void {
    const { accountId, metadata } = this.#admitted;
    this.#choice.origin ??= attempt.origin;
    const { origin } = this.#choice;
    const requestId = this.isTakenUp ? metadata.resumedRequestId : metadata.requestId;
    if (requestId === null || origin === null) return;
    this.#context.origins.record(accountId, requestId, origin);
  }
}
