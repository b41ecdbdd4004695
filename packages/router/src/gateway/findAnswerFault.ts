import type { AdmittedRequest } from './admitRequest.js';
import type { RawAnswerHead } from './attempt.js';
import type { AnswerMetadata } from './dialect.js';
import { findBodyFault } from './findBodyFault.js';

const FIRST_ANSWER_STATUS = 200;
const FIRST_REDIRECT_STATUS = 300;
const FIRST_INVALID_STATUS = 600;

/** Says whether an answer may have a status. */
export function isAnswerStatus(status: number): boolean {
  return status >= FIRST_ANSWER_STATUS && status < FIRST_INVALID_STATUS;
}

/** What an attempt knows of the answer that it waits for. */
export interface ExpectedAnswer {
  /** True when it goes on with a stream that another attempt has begun. */
  readonly isResumed: boolean;
  /** True for the answer to the first request on a connection. */
  readonly isFirst: boolean;
}

/**
 * Returns why an answer by its head cannot be taken for the answer of an endpoint to a request; null
 * without a reason.
 */
export function findAnswerFault(
  head: RawAnswerHead,
  { isSigned, requestId }: AnswerMetadata,
  admitted: AdmittedRequest,
  { isResumed, isFirst }: ExpectedAnswer,
): string | null {
  if (!isAnswerStatus(head.status)) return `no answer has the status ${head.status}`;
  const isForeign = requestId !== null && requestId !== admitted.metadata.requestId;
  if (isForeign) return 'answer carries the id of another request';
  const isSuccess = head.status < FIRST_REDIRECT_STATUS;
  const isForged = isSuccess && (!isSigned || requestId === null);
  if (isForged) return 'successful answer lacks a signature or request id';
  // It may be an earlier answer, written once more; nothing else tells it from the request's own.
  const isUnproven = requestId === null && !isFirst;
  if (isUnproven) return 'answer without a request id on a kept connection';
  return isSuccess ? findBodyFault(head, admitted.route, isResumed) : null;
}
