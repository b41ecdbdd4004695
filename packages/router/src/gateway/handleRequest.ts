import type { IncomingMessage, ServerResponse } from 'node:http';

import { now } from '../clock.js';
import { hasValidHeaderNames } from '../headerNames.js';
import { admitRequest, type AdmittedRequest, type RejectedRequest } from './admitRequest.js';
import { BodyTerms } from './bodyTerms.js';
import type { CallerAnswer } from './callerAnswer.js';
import type { Arrival } from './callerConnections.js';
import { Exchange } from './exchange.js';
import type { GatewayContext } from './gatewayContext.js';
import { readBody, type WholeBody } from './readBody.js';
import { RequestTrace } from './requestTrace.js';
import type { TransitTerms } from './transitEnvelope.js';

/** Limits until the first configuration is adopted. */
export const DEFAULT_LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 5000,
  idleTimeoutMs: 15_000,
};

/** A request and where its answer goes. */
export interface ReceivedRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly answer: CallerAnswer;
  /** Terms of the VM that sent the request; null when a caller did. */
  readonly transit: TransitTerms | null;
  /** True when the caller sends the body only once it is told to. */
  readonly awaitsContinue: boolean;
  /** When it came, if it had to wait before it is handled. */
  readonly arrival?: Arrival | undefined;
}

function logRejection(
  { log, metrics, state }: GatewayContext,
  requestId: string | null,
  { status, reason, outcome = reason, routeId }: RejectedRequest,
): void {
  metrics.countRequest(routeId, outcome);
  const configuration = state.routing.configuration?.version ?? null;
  log.decision('request_rejected', { requestId, status, reason, routeId, configuration });
}

function reject(
  context: GatewayContext,
  { answer }: ReceivedRequest,
  rejection: RejectedRequest,
  requestId: string | null = null,
): void {
  logRejection(context, requestId, rejection);
  answer.sendError(rejection.status, rejection.reason, rejection.retryAfterMs);
}

/** Rejects a request whose body is not read. */
function rejectUnread(
  context: GatewayContext,
  { answer, request }: ReceivedRequest,
  rejection: RejectedRequest,
): void {
  const { requestId } = context.dialect.parseRequest(request.headers);
  logRejection(context, requestId, rejection);
  answer.sendErrorUnread(rejection.status, rejection.reason, rejection.retryAfterMs);
}

function begin(
  context: GatewayContext,
  admitted: AdmittedRequest,
  received: ReceivedRequest,
  body: WholeBody,
): void {
  try {
    new Exchange(context, admitted, received, body).start();
  } catch (error) {
    context.log.warn('request_crashed', { error: String(error) });
    received.answer.sendError(500, 'internal');
  }
}

/** Logs and counts a request whose caller left before it began. */
function forget(
  { links, log, loopDelay, metrics }: GatewayContext,
  { arrival, job, route }: AdmittedRequest,
): void {
  const trace = new RequestTrace(arrival, (id) => links.provenAt(id));
  const fields = trace.describe(now(), loopDelay.unreadAgeMs);
  metrics.countAbandoned(fields.place);
  metrics.countRequest(route.id, 'abandoned');
  log.decision('request_ended', {
    requestId: job.id,
    route: route.id,
    outcome: 'abandoned',
    priority: job.priority,
    ...fields,
  });
}

/** Reads, admits and answers a request; rejects on unexpected errors only. */
export async function handleRequest(
  context: GatewayContext,
  received: ReceivedRequest,
): Promise<void> {
  const { answer, request, response, transit } = received;
  const { callers, intake, metrics, room, state } = context;
  const arrival = received.arrival ?? callers.readArrival(request.socket);
  if (!hasValidHeaderNames(request.rawHeaders)) {
    metrics.countRequest('none', 'malformed_header');
    // What follows on the connection may be part of it.
    response.shouldKeepAlive = false;
    answer.sendError(400, 'malformed_header');
    request.resume();
    return;
  }
  const limits = state.routing.configuration?.limits ?? DEFAULT_LIMITS;
  const terms = new BodyTerms(context, received, limits.maxBodyBytes);
  const result = await readBody(request, room, terms);
  if (result.kind === 'cut') {
    metrics.countRequest('none', 'cut');
    return;
  }
  if (result.kind === 'refused') {
    rejectUnread(context, received, result.rejection);
    return;
  }
  const { body, held } = result;
  if (response.closed) held?.release();
  else if (held !== null) response.once('close', () => held.release());
  const admission = admitRequest(context, request, arrival, transit);
  if (admission.kind === 'rejected') {
    reject(context, received, admission);
    return;
  }
  const routeId = admission.route.id;
  const reason = transit === null ? 'overloaded' : 'busy';
  intake.accept(admission, body?.length ?? 0, response, {
    hasLeft: () => callers.hasLeft(request.socket),
    begin: () => begin(context, admission, received, result),
    refuse: (retryAfterMs) => {
      const rejection = { kind: 'rejected', status: 503, reason, retryAfterMs, routeId } as const;
      reject(context, received, rejection, admission.job.id);
    },
    forget: () => forget(context, admission),
  });
}
