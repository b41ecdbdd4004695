import {
  Agent,
  request as sendRequest,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import type { Configuration } from '@filbertlatch/core';

import {
  createRoute,
  createSource,
  startEndpoint,
  startGateway,
  testConfiguration,
  type TestEndpoint,
  type TestGateway,
} from './fixtures.js';

/** One scenario of a gateway that is stopped under load; its grace period has 3.5 s. */
export interface DrainScenario {
  /** Time that endpoints work on a request, in milliseconds. */
  readonly workMs: number;
  /** Time for which requests are sent before the drain, in milliseconds. */
  readonly calmMs: number;
}

/** How the requests ended that were sent during the drain. */
export interface DrainOutcome {
  readonly sent: number;
  readonly served: number;
  readonly refused: number;
  /** Answered by the gateway, which does not know whether they ran. */
  readonly failed: number;
  /** Reached an endpoint and ended without a complete answer. */
  readonly cut: number;
  /** Sent well before the end, and ended without an answer. */
  readonly unanswered: number;
  /** Refused as not run, and had run. */
  readonly untrue: number;
  /** Requests sent early enough to end in time if they took twice as long, and those served. */
  readonly early: number;
  readonly earlyServed: number;
}

interface DrainCall {
  readonly id: string;
  readonly sentAt: number;
  status: number;
  isComplete: boolean;
  /** The gateway closed the connection, or refused it, without a byte. */
  error: string | null;
  /** True when it met the close of a connection that had carried an answer before, and did not run. */
  isCrossed: boolean;
}

const EVENTS = 4;

/** Kinds of requests, in turn. */
const ROUTES = ['plain', 'safe', 'resumed'];
const CONNECTIONS = ['new', 'kept'];

const SEND_INTERVAL_MS = 15;

const CALLER_WAIT_MS = 5000;

/** Within this time of the end a request may cross the close of its connection. */
const CROSSING_MS = 300;

/** The drain takes no more requests after this time. */
const TAKING_MS = 2700;

const GRACE_MS = 3500;
const KILL_MARGIN_MS = 600;

const ROUTE_TERMS = { targetMs: 3000, timeoutMs: 20_000 };

const configuration: Configuration = {
  ...testConfiguration,
  routes: [
    createRoute(ROUTE_TERMS),
    createRoute({
      ...{ ...ROUTE_TERMS, id: 'safe', prefix: '/safe/' },
      ...{ repetition: 'idempotent', attempts: 2 },
    }),
    createRoute({
      ...{ ...ROUTE_TERMS, id: 'resumed', prefix: '/resumed/', repetition: 'streaming' },
      ...{ isResumable: true, attempts: 2, gapTargetMs: 2000 },
    }),
  ],
};

/** A gateway that drains while its callers send on. */
class DrainFleet {
  readonly #scenario: DrainScenario;

  readonly #runs = new Set<string>();

  readonly #calls: DrainCall[] = [];

  readonly #agent = new Agent({ keepAlive: true, maxFreeSockets: 200 });

  #endpoints: readonly TestEndpoint[] = [];

  #vm!: TestGateway;

  constructor(scenario: DrainScenario) {
    this.#scenario = scenario;
  }

  async play(): Promise<DrainOutcome> {
    await this.#start();
    try {
      const stopSending = this.#sendAll();
      await sleep(this.#scenario.calmMs);
      const drainedAt = performance.now();
      await this.#vm.gateway.drain();
      const endedAt = performance.now();
      await stopSending();
      return this.#createOutcome(drainedAt, endedAt);
    } finally {
      this.#agent.destroy();
      this.#vm.gateway.stop();
      this.#endpoints.forEach((endpoint) => endpoint.close());
    }
  }

  async #start(): Promise<void> {
    this.#endpoints = await Promise.all(
      ['e0', 'e1'].map((id) =>
        startEndpoint(id, (request, response) => {
          request.resume();
          void this.#run(request, response);
        }),
      ),
    );
    const registered = this.#endpoints.map(({ endpoint }) => ({ ...endpoint, slots: 400 }));
    const services = new Map([
      ['desk', { ...testConfiguration.services.get('desk')!, maxConnections: 800 }],
    ]);
    this.#vm = await startGateway(createSource({ ...configuration, services }, registered));
  }

  async #run({ headers, url = '' }: IncomingMessage, response: ServerResponse): Promise<void> {
    const id = String(headers['x-request']);
    this.#runs.add(id);
    const { workMs } = this.#scenario;
    const answerHeaders = { 'x-request': id, 'x-mac': 'mac' };
    if (!url.startsWith('/resumed/')) {
      await sleep(workMs);
      response.writeHead(200, answerHeaders).end('answer');
      return;
    }
    response.writeHead(200, { ...answerHeaders, 'content-type': 'text/event-stream' });
    for (let event = Number(headers['x-after'] ?? 0) + 1; event <= EVENTS; event += 1) {
      response.write(`id: ${event}\n\n`);
      await sleep(workMs / EVENTS);
    }
    response.end();
  }

  /** Sends requests until the returned function is called, which resolves when all have ended. */
  #sendAll(): () => Promise<void> {
    const sending: Promise<void>[] = [];
    const timer = setInterval(() => {
      sending.push(this.#send(sending.length));
    }, SEND_INTERVAL_MS);
    return async () => {
      clearInterval(timer);
      await Promise.all(sending);
    };
  }

  async #send(index: number): Promise<void> {
    const id = `request-${index}`;
    const isKept = CONNECTIONS[Math.floor(index / ROUTES.length) % CONNECTIONS.length] === 'kept';
    const [host, port] = this.#vm.callers.split(':');
    const drainCall: DrainCall = {
      ...{ id, sentAt: performance.now(), status: 0, isComplete: false },
      error: null,
      isCrossed: false,
    };
    this.#calls.push(drainCall);
    const headers = {
      ...{ host: 'desk.example', 'x-request': id, 'x-key': 'right-key' },
      'x-remaining': String(CALLER_WAIT_MS),
    };
    const path = `/${ROUTES[index % ROUTES.length]}/`;
    await new Promise<void>((resolve) => {
      const target = { host, port: Number(port), path, method: 'POST', headers };
      const outgoing = sendRequest(
        { ...target, agent: isKept ? this.#agent : false },
        (response) => {
          drainCall.status = response.statusCode ?? 0;
          response.resume();
          response.on('error', () => {
            // Reported by `complete`.
          });
          response.on('close', () => {
            drainCall.isComplete = response.complete;
            resolve();
          });
        },
      );
      outgoing.on('error', (error: NodeJS.ErrnoException) => {
        drainCall.error = error.code ?? error.message;
        drainCall.isCrossed = outgoing.reusedSocket && !this.#runs.has(id);
        resolve();
      });
      outgoing.end('question');
    });
  }

  #createOutcome(drainedAt: number, endedAt: number): DrainOutcome {
    const calls = this.#calls.filter(
      ({ error, isCrossed, sentAt }) =>
        sentAt >= drainedAt - 20 && error !== 'ECONNREFUSED' && !isCrossed,
    );
    const isServed = ({ isComplete, status }: DrainCall) => isComplete && status === 200;
    const isRefused = ({ isComplete, status }: DrainCall) => isComplete && status === 503;
    const hasRun = ({ id }: DrainCall) => this.#runs.has(id);
    const lateMs = Math.min(TAKING_MS, GRACE_MS - KILL_MARGIN_MS - 2 * this.#scenario.workMs);
    const early = calls.filter(({ sentAt }) => sentAt < drainedAt + lateMs);
    return {
      sent: calls.length,
      served: calls.filter(isServed).length,
      refused: calls.filter(isRefused).length,
      failed: calls.filter(
        ({ isComplete, status }) => isComplete && status >= 500 && status !== 503,
      ).length,
      cut: calls.filter((drainCall) => hasRun(drainCall) && !drainCall.isComplete).length,
      unanswered: calls.filter(
        ({ isComplete, sentAt }) => !isComplete && sentAt < endedAt - CROSSING_MS,
      ).length,
      untrue: calls.filter((drainCall) => isRefused(drainCall) && hasRun(drainCall)).length,
      early: early.length,
      earlyServed: early.filter(isServed).length,
    };
  }
}

/** Plays a scenario and returns what callers saw. */
export async function playDrainScenario(scenario: DrainScenario): Promise<DrainOutcome> {
  return new DrainFleet(scenario).play();
}
