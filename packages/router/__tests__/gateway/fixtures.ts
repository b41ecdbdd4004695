import { once } from 'node:events';
import {
  createServer,
  request as sendRequest,
  type IncomingMessage,
  type RequestListener,
  type Server,
} from 'node:http';
import type { AddressInfo } from 'node:net';

import type { Configuration, GenerationSize, RegisteredEndpoint, Route } from '@filbertlatch/core';

import {
  createGateway,
  dropHeaders,
  findHeader,
  type Dialect,
  type Gateway,
  type NamedLimit,
  type PublicationSource,
  type PublicationBatch,
} from '../../src/gateway/index.js';
import { GatewayMetrics } from '../../src/gateway/gatewayMetrics.js';
import { findFreeAddress } from '../../src/testing/index.js';

const TOKENS_PER_SEGMENT = 200;
const OUTPUT_TOKENS = 30;

function parseTestLimit(text: string | null): NamedLimit | null {
  if (text === null) return null;
  const perSecond = Number(text);
  return Number.isNaN(perSecond) ? { kind: 'malformed', text } : { kind: 'limit', perSecond };
}

/** Reads a prompt of segments with as many tokens each; null without segments. */
function parseTestSize(text: string | undefined): GenerationSize | null {
  if (text === undefined) return null;
  const segments = text.split(',').map((id) => ({ id, tokens: TOKENS_PER_SEGMENT }));
  const promptTokens = segments.length * TOKENS_PER_SEGMENT;
  return { promptTokens, outputTokens: OUTPUT_TOKENS, segments };
}

function parseTestPause(text: string | null): number | null {
  return /^\d+(\.\d+)?$/.test(text ?? '') ? Number(text) * 1000 : null;
}

const zero = () => 0;

/** Creates the metrics of a gateway whose gauges are all 0. */
export function createTestMetrics(): GatewayMetrics {
  return new GatewayMetrics({
    configurationVersion: zero,
    endpoints: zero,
    peers: zero,
    knownCrashes: zero,
    unreportedCrashes: zero,
    limitedEndpoints: zero,
    recordedSegments: zero,
    suspectedSegments: zero,
    refusedSegments: zero,
    droppedLogLines: zero,
    memoryLimitBytes: zero,
    heldBytes: () => ({}),
  });
}

/** Name of the header of answers whose endpoint leaves. */
export const LEAVING_HEADER = 'x-leaving';

/** Name of the header of answers whose endpoint falls over when it turns more requests away. */
export const BRITTLE_HEADER = 'x-brittle';

/** Name of the header of refusals whose endpoint wants no request for some seconds. */
export const PAUSE_HEADER = 'retry-after';

/** Dialect with headers of its own for tests. */
export const testDialect: Dialect = {
  parseRequest: (headers) => ({
    requestId: (headers['x-request'] as string | undefined) ?? null,
    remainingMs: Number(headers['x-remaining'] ?? 5000),
    key: (headers['x-key'] as string | undefined) ?? null,
    size: parseTestSize(headers['x-segments'] as string | undefined),
    lastEventId: (headers['x-after'] as string | undefined) ?? null,
    resumedRequestId: (headers['x-resumes'] as string | undefined) ?? null,
  }),
  formatRequest: (headers, forwarded) => [
    ...dropHeaders(
      headers,
      (name) =>
        ['x-key', 'x-remaining'].includes(name) ||
        (name === 'x-after' && forwarded.lastEventId !== null),
    ),
    ...['X-Remaining', String(Math.floor(forwarded.remainingMs))],
    ...['X-Endpoint', forwarded.endpointId],
    ...(forwarded.accountId === null ? [] : ['X-Account', forwarded.accountId]),
    ...(forwarded.lastEventId === null ? [] : ['X-After', forwarded.lastEventId]),
  ],
  parseAnswer: (status, headers) => ({
    requestId: findHeader(headers, 'x-request'),
    isNotRun: findHeader(headers, 'x-not-run') !== null,
    isSigned: findHeader(headers, 'x-mac') !== null,
    endpointId: findHeader(headers, 'x-instance'),
    load: null,
    limit: parseTestLimit(findHeader(headers, 'x-limit')),
    isLeaving: findHeader(headers, LEAVING_HEADER) === '1',
    brittleness: Number(findHeader(headers, BRITTLE_HEADER)) || null,
    pauseMs: status === 503 ? parseTestPause(findHeader(headers, PAUSE_HEADER)) : null,
  }),
};

/** Creates a route to the plain service. */
export function createRoute(changes: Partial<Route>): Route {
  return {
    id: 'plain',
    host: 'desk.example',
    prefix: '/plain/',
    repetition: 'non-idempotent',
    isResumable: false,
    isPublic: false,
    priority: 1,
    attempts: 1,
    timeoutMs: 5000,
    targetMs: 2000,
    gapTargetMs: null,
    split: [{ serviceId: 'desk', weight: 1 }],
    ...changes,
  };
}

const routes: readonly Route[] = [
  createRoute({}),
  createRoute({ id: 'safe', prefix: '/safe/', repetition: 'idempotent', attempts: 2 }),
  createRoute({ id: 'stream', prefix: '/stream/', repetition: 'streaming' }),
  createRoute({
    id: 'resumed',
    prefix: '/resumed/',
    repetition: 'streaming',
    isResumable: true,
    attempts: 2,
  }),
  createRoute({ id: 'open', prefix: '/open/', isPublic: true }),
];

/** A configuration with a route of each kind and one client account. */
export const testConfiguration: Configuration = {
  version: 4,
  routes,
  services: new Map([
    ['desk', { id: 'desk', healthPath: '/health', maxConnections: 64, engine: null }],
  ]),
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 1000,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15_000,
  },
  accounts: new Map([['right-key', { id: 'station', priority: 0 }]]),
};

const waitForAbort = (signal: AbortSignal): Promise<PublicationBatch> =>
  new Promise((_, reject) => {
    signal.addEventListener('abort', () => reject(new Error('stopped')));
  });

/** Creates a source that publishes one configuration, or none, and fixed endpoints. */
export function createSource(
  configuration: Configuration | null,
  endpoints: readonly RegisteredEndpoint[],
): PublicationSource {
  const entries = {
    configuration: configuration === null ? [] : [{ id: '', text: 'published' }],
    endpoints: endpoints.map(({ id }) => ({ id, text: id })),
  };
  return {
    read: (part) => Promise.resolve({ entries: entries[part], revision: 10 }),
    watch: (_part, _after, signal) => waitForAbort(signal),
    readChanges: (_part, after) => Promise.resolve({ entries: [], revision: after }),
    decodeConfiguration: () => configuration!,
    decodeEndpoint: (id) => endpoints.find((endpoint) => endpoint.id === id) ?? null,
  };
}

async function listenOn(server: Server): Promise<string> {
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** An HTTP endpoint whose answers are written by the test. */
export interface TestEndpoint {
  readonly endpoint: RegisteredEndpoint;
  readonly requests: IncomingMessage[];
  close(): void;
}

/** Time after which an endpoint closes an idle connection. */
const DEFAULT_IDLE_MS = 5000;

/** Starts an endpoint; health checks succeed unless the test answers them, and are not recorded. */
export async function startEndpoint(
  id: string,
  answer: RequestListener,
  answerHealth: RequestListener = (_request, response) => {
    response.setHeader('x-instance', id);
    response.end();
  },
  keepAliveTimeout = DEFAULT_IDLE_MS,
): Promise<TestEndpoint> {
  const requests: IncomingMessage[] = [];
  const server = createServer({ keepAliveTimeout }, (request, response) => {
    if (request.url === '/health') {
      answerHealth(request, response);
      return;
    }
    requests.push(request);
    answer(request, response);
  });
  const address = await listenOn(server);
  return {
    requests,
    endpoint: {
      id,
      serviceId: 'desk',
      address,
      zone: 'zone-a',
      slots: 6,
      state: 'ready',
      startedAt: null,
      version: null,
    },
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

/** A started gateway and its addresses. */
export interface TestGateway {
  readonly gateway: Gateway;
  readonly callers: string;
  readonly ready: string;
  readonly control: string;
}

/** Starts a gateway on free loopback ports. */
export async function startGateway(
  source: PublicationSource,
  dialect: Dialect = testDialect,
  graceSeconds = 3.5,
  memoryLimitBytes?: number,
): Promise<TestGateway> {
  const [callers, ready, control] = await Promise.all([
    findFreeAddress(),
    findFreeAddress(),
    findFreeAddress(),
  ]);
  const settings = {
    vm: { id: 'vm-1', zone: 'zone-a' },
    listen: { callers, ready, control },
    seeds: [],
    platform: { address: '127.0.0.1:1' },
    graceSeconds,
    repeats: { ratio: 0.2, slack: 50, windowSeconds: 10 },
    logLevel: 'error' as const,
    memoryLimitBytes,
  };
  const gateway = await createGateway(settings, source, dialect);
  return { gateway, callers, ready, control };
}

/** Answer as received by a caller. */
export interface CallerAnswer {
  readonly status: number;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
  /** False when the connection broke before the end of the answer. */
  readonly isComplete: boolean;
}

/** Sends a request as a caller and reads the answer to its end. */
export function call(
  address: string,
  path: string,
  options: { method?: string; headers?: Record<string, string>; body?: string } = {},
): Promise<CallerAnswer> {
  const [host, port] = address.split(':');
  return new Promise((resolve, reject) => {
    const outgoing = sendRequest(
      {
        host,
        port: Number(port),
        path,
        method: options.method ?? 'GET',
        agent: false,
        headers: {
          host: 'desk.example',
          'x-request': 'request-1',
          'x-key': 'right-key',
          ...options.headers,
        },
      },
      (response) => {
        let body = '';
        response.setEncoding('latin1');
        response.on('data', (chunk: string) => {
          body += chunk;
        });
        response.on('error', () => {
          // Reported by `complete` below.
        });
        response.on('close', () => {
          const { statusCode, headers, complete } = response;
          resolve({ status: statusCode ?? 0, headers, body, isComplete: complete });
        });
      },
    );
    outgoing.on('error', reject);
    outgoing.end(options.body);
  });
}

/** Waits until a condition holds; throws after 500 tries, 10 ms apart. */
export async function waitUntil(condition: () => Promise<boolean> | boolean): Promise<void> {
  for (let tries = 0; tries < 500; tries += 1) {
    if (await condition()) return;
    await new Promise((resolve) => {
      setTimeout(resolve, 10);
    });
  }
  throw new Error('the condition did not hold within 500 tries');
}
