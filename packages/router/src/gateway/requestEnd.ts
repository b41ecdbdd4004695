import type { AdmittedRequest } from './admitRequest.js';
import type { AnswerTimes } from './answerTimes.js';
import type { LogFields } from './gatewayLog.js';

/** Describes the end of a request for the log: what it was, and how long it took. */
export function describeEnd(
  { arrival, job, route, isReturning }: AdmittedRequest,
  { firstAt, longestPauseMs }: AnswerTimes,
  now: number,
): LogFields {
  const { earliestAt, readAt } = arrival;
  return {
    requestId: job.id,
    route: route.id,
    priority: job.priority,
    promptTokens: job.size?.promptTokens,
    outputTokens: job.size?.outputTokens,
    isReturning,
    unreadMs: Math.round(readAt - earliestAt),
    firstMs: firstAt === null ? null : Math.round(firstAt - earliestAt),
    longestPauseMs: Math.round(longestPauseMs),
    totalMs: Math.round(now - earliestAt),
  };
}
