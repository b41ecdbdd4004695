import type { IncomingMessage } from 'node:http';

import {
  chooseService,
  findAccountByKey,
  findRoute,
  isRepeatable,
  rankOfRequest,
  recordArrival,
  recordServiceArrival,
  type ClientAccount,
  type Configuration,
  type Job,
  type Route,
  type RoutedService,
} from '@filbertlatch/core';

import type { Arrival } from './callerConnections.js';
import type { RequestMetadata } from './dialect.js';
import { DRAINING_RETRY_AFTER_MS } from './drain.js';
import type { GatewayContext } from './gatewayContext.js';
import type { TransitTerms } from './transitEnvelope.js';

/** A request that may be forwarded to an endpoint of its service. */
export interface AdmittedRequest {
  readonly kind: 'admitted';
  readonly route: Route;
  readonly service: RoutedService;
  readonly accountId: string | null;
  readonly job: Job;
  readonly metadata: RequestMetadata;
  readonly arrival: Arrival;
  /** True when the request may run more than once. */
  readonly isRepeatable: boolean;
  /** Terms of the VM that sent the request by way of this one; null when a caller did. */
  readonly transit: TransitTerms | null;
  /** Endpoints that may get the request before one answers it. */
  readonly maxAttempts: number;
  /** True when the caller announced so little time that this is probably a retry. */
  readonly isReturning: boolean;
  /** Epoch milliseconds of the caller's deadline or the route's time-out, whichever is earlier. */
  readonly deadlineAt: number;
}

/** A request whose route and client account are known. */
export interface FoundRequest {
  readonly kind: 'found';
  readonly configuration: Configuration;
  readonly route: Route;
  /** Undefined on a route that needs no account. */
  readonly account: ClientAccount | undefined;
  readonly metadata: RequestMetadata;
}

/** A request that the gateway answers itself with an error. */
export interface RejectedRequest {
  readonly kind: 'rejected';
  readonly status: number;
  /** Error code of the answer; also the outcome in metrics, unless that has a name of its own. */
  readonly reason: string;
  readonly outcome?: string;
  /** Retry delay told to the caller; null when it should not retry. */
  readonly retryAfterMs: number | null;
  /** `none` when no route was found or looked for. */
  readonly routeId: string;
}

/** Retry delay told to callers while this VM starts and has no configuration yet. */
const STARTING_RETRY_AFTER_MS = 300;

/**
 * Retry delay told to callers without a configuration while the store is unreachable; longer,
 * because outages last seconds and callers retry a limited number of times.
 */
const STORE_OUTAGE_RETRY_AFTER_MS = 1500;

/**
 * Time left that a caller may have who has not closed its connection, however late its request was
 * read.
 */
const OPEN_CALLER_TIME_MS = 400;

/** A caller with less than this fraction of the route's time-out left has probably tried before. */
const RETRIED_TIME_FRACTION = 0.94;

function reject(
  status: number,
  reason: string,
  routeId = 'none',
  retryAfterMs: number | null = null,
): RejectedRequest {
  return { kind: 'rejected', status, reason, retryAfterMs, routeId };
}

function stripQuery(target: string): string {
  const query = target.indexOf('?');
  return query < 0 ? target : target.slice(0, query);
}

/** Finds route and account of a request in the current configuration, or the reason to reject it. */
export function findRequest(
  { drain, state, dialect }: GatewayContext,
  request: IncomingMessage,
): FoundRequest | RejectedRequest {
  const { routing } = state;
  const { configuration } = routing;
  if (drain.isRejecting) return reject(503, 'leaving', 'none', DRAINING_RETRY_AFTER_MS);
  if (configuration === null) {
    const retryMs = state.directory.isStoreLost
      ? STORE_OUTAGE_RETRY_AFTER_MS
      : STARTING_RETRY_AFTER_MS;
    return reject(503, 'starting', 'none', retryMs);
  }
  const host = (request.headers.host ?? '').replace(/:\d+$/, '');
  const route = findRoute(routing, host, stripQuery(request.url ?? '/'));
  if (route === undefined) return reject(404, 'no_route');
  const metadata = dialect.parseRequest(request.headers);
  const account = findAccountByKey(routing, metadata.key);
  const needsKey = configuration.accounts !== null && !route.isPublic;
  if (needsKey && account === undefined) return reject(401, 'unknown_key', route.id);
  return { kind: 'found', configuration, route, account, metadata };
}

/**
 * Finds route, account and service of a request in the current configuration, or the reason to
 * reject it.
 */
export function admitRequest(
  context: GatewayContext,
  request: IncomingMessage,
  arrival: Arrival,
  transit: TransitTerms | null,
): AdmittedRequest | RejectedRequest {
  const found = findRequest(context, request);
  if (found.kind === 'rejected') return found;
  const { account, configuration, metadata, route } = found;
  const { contacts, state } = context;
  const { scheduling } = state;
  const requestId = metadata.requestId ?? '';
  // A stream that is taken up belongs to the service that began it.
  const isTakenUp = metadata.lastEventId !== null && metadata.resumedRequestId !== null;
  const serviceId = chooseService(route, isTakenUp ? metadata.resumedRequestId : requestId);
  const service = serviceId === undefined ? undefined : configuration.services.get(serviceId);
  if (service === undefined) return reject(503, 'no_service', route.id, STARTING_RETRY_AFTER_MS);
  const isLost = contacts.isLost(service.id);
  // One hop only: the VM that sent the request looks for another.
  if (transit !== null && isLost) return reject(503, 'out_of_touch', route.id, 0);
  const announcedMs = Math.min(
    metadata.remainingMs ?? route.timeoutMs,
    transit?.remainingMs ?? route.timeoutMs,
    route.timeoutMs,
  );
  const { earliestAt, readAt } = arrival;
  const earliestLeftMs = announcedMs - (readAt - earliestAt);
  const remainingMs = Math.max(earliestLeftMs, Math.min(announcedMs, OPEN_CALLER_TIME_MS));
  const job: Job = {
    id: requestId,
    routeId: route.id,
    serviceId: service.id,
    priority: rankOfRequest(account, route),
    size: service.engine === null ? null : metadata.size,
    slots: service.engine?.slots ?? null,
    kvTokens: service.engine?.kvTokens ?? null,
    tokensPerEvent: service.engine?.tokensPerEvent ?? 1,
    targetMs: route.targetMs,
    gapTargetMs: route.gapTargetMs,
    remainingMs,
  };
  // A request that goes by way of another VM counts there.
  if (!isLost) {
    recordArrival(scheduling, job, readAt);
    recordServiceArrival(state.requestLimits, service.id, job.priority, readAt);
  }
  return {
    kind: 'admitted',
    route,
    service,
    accountId: account?.id ?? null,
    job,
    metadata,
    arrival,
    isRepeatable: isRepeatable(route),
    transit,
    // The VM that sent it makes the further attempts.
    maxAttempts: transit === null ? route.attempts : 1,
    isReturning: announcedMs < route.timeoutMs * RETRIED_TIME_FRACTION,
    deadlineAt: readAt + remainingMs,
  };
}
