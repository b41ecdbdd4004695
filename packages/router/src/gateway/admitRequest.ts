import type { IncomingMessage } from 'node:http';

import {
  chooseService,
  findKeyHolder,
  findRoute,
  isRepeatable,
  noteArrival,
  type Job,
  type Route,
  type RoutedService,
} from '@filbertlatch/core';

import type { RequestMetadata } from './dialect.js';
import type { GatewayContext } from './gatewayContext.js';

/** A request that may be sent on. */
export interface AdmittedRequest {
  readonly kind: 'admitted';
  readonly route: Route;
  readonly service: RoutedService;
  readonly accountId: string | null;
  readonly job: Job;
  readonly metadata: RequestMetadata;
  readonly isRepeatable: boolean;
  /** True of a caller that has less than the route's whole time: it has tried before. */
  readonly isReturning: boolean;
  /** Instant at which its answer is due: the caller's deadline or the route's time-out. */
  readonly deadlineAt: number;
}

/** A request that is answered at once. */
export interface RejectedRequest {
  readonly kind: 'rejected';
  readonly status: number;
  readonly reason: string;
  readonly retryAfterMs: number | null;
  readonly routeId: string;
}

/** Wait for a VM that has just started and knows no configuration. */
const STARTING_RETRY_AFTER_MS = 300;

/** The same while the platform is away: for seconds, and callers come back only so often. */
const STORE_OUTAGE_RETRY_AFTER_MS = 1500;

/** Wait for a caller whose VM leaves: its next connection goes to another. */
const LEAVING_RETRY_AFTER_MS = 50;

/** A caller that has this part of the route's time, or less, has tried before. */
const RETRIED_TIME_FRACTION = 0.94;

/** Each rank of an account goes before all ranks of routes. */
const ROUTE_PRIORITY_LEVELS = 10;

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

/** Finds route, account and service of a request by the configuration in force now. */
export function admitRequest(
  { state, dialect }: GatewayContext,
  request: IncomingMessage,
  arrivedAt: number,
): AdmittedRequest | RejectedRequest {
  const { routing, scheduling } = state;
  const { configuration } = routing;
  if (state.isRejecting) return reject(503, 'leaving', 'none', LEAVING_RETRY_AFTER_MS);
  if (configuration === null) {
    const retryMs = state.directory.isStoreLost
      ? STORE_OUTAGE_RETRY_AFTER_MS
      : STARTING_RETRY_AFTER_MS;
    return reject(503, 'starting', 'none', retryMs);
  }
  const host = (request.headers.host ?? '').replace(/:\d+$/, '');
  const route = findRoute(routing, host, stripQuery(request.url ?? '/'));
  if (route === undefined) return reject(404, 'no_route');
  const call = dialect.parseRequest(request.headers);
  const account = findKeyHolder(routing, call.key);
  const needsKey = configuration.accounts !== null && !route.isPublic;
  if (needsKey && account === undefined) return reject(401, 'unknown_key', route.id);
  const requestId = call.requestId ?? '';
  const serviceId = chooseService(route, requestId);
  const service = serviceId === undefined ? undefined : configuration.services.get(serviceId);
  if (service === undefined) return reject(503, 'no_service', route.id, STARTING_RETRY_AFTER_MS);
  const remainingMs = Math.min(call.remainingMs ?? route.timeoutMs, route.timeoutMs);
  const job: Job = {
    id: requestId,
    routeId: route.id,
    serviceId: service.id,
    priority: (account?.priority ?? 0) * ROUTE_PRIORITY_LEVELS + route.priority,
    size: service.engine === null ? null : call.size,
    kvTokens: service.engine?.kvTokens ?? null,
    tokensPerEvent: service.engine?.tokensPerEvent ?? 1,
    targetMs: route.targetMs,
    gapTargetMs: route.gapTargetMs,
    remainingMs,
  };
  noteArrival(scheduling, job, arrivedAt);
  return {
    kind: 'admitted',
    route,
    service,
    accountId: account?.id ?? null,
    job,
    metadata: call,
    isRepeatable: isRepeatable(route),
    isReturning: remainingMs < route.timeoutMs * RETRIED_TIME_FRACTION,
    deadlineAt: arrivedAt + remainingMs,
  };
}
