import { tierRank, type ActionOf, type AttemptEnd, type Endpoint } from '@filbertlatch/core';
import { Pool } from 'undici';

import type { Exchange, PayloadOf, ServiceAnswer } from '../callers/exchange.js';
import type { Exchanges } from '../callers/exchanges.js';
import { now } from '../clock.js';
import type { Decider } from '../decider/index.js';
import { checkEnd, checkPort } from '../gateway/endCheck.js';
import { AttemptError, toAttemptError } from './attemptError.js';
import { PRIORITY_HEADER, REQUEST_ID_HEADER, TIMEOUT_HEADER } from './engineProtocol.js';
import { checkStatus, readServiceAnswer } from './readAnswer.js';
import { StreamReader, type AttemptProgress } from './streamReader.js';
import { TokenCounter } from './tokenCounter.js';

const CONNECT_TIMEOUT_MS = 1000;
/** Connections beyond the endpoint's slots. */
const SPARE_CONNECTIONS = 8;

const DEFAULT_PORTS: Readonly<Record<string, number>> = { 'http:': 80, 'https:': 443 };

/** Takes this process for one that always listens. */
const clock = { listenedMs: (since: number) => now() - since };

interface RunningAttempt {
  readonly controller: AbortController;
  cancelled: boolean;
}

function toAttemptEnd(error: unknown, running: RunningAttempt, delivered: number): AttemptEnd {
  if (running.cancelled) return { kind: 'cancelled', verdict: 'may-have-run' };
  const { failure, verdict, status, retryAfterMs } = toAttemptError(error);
  // Tokens arrived, so the endpoint ran the request whatever the error says.
  const knownVerdict = delivered > 0 ? 'ran' : verdict;
  return { kind: 'failed', cause: failure, verdict: knownVerdict, delivered, status, retryAfterMs };
}

/** The task that owns the connections to one endpoint and the attempts on them. */
export class EndpointTask {
  readonly #endpoint: Endpoint;

  readonly #decider: Decider;

  readonly #exchanges: Exchanges;

  readonly #pool: Pool;

  readonly #running = new Map<string, RunningAttempt>();

  constructor(endpoint: Endpoint, decider: Decider, exchanges: Exchanges, maxAnswerBytes: number) {
    this.#endpoint = endpoint;
    this.#decider = decider;
    this.#exchanges = exchanges;
    this.#pool = new Pool(new URL(endpoint.url).origin, {
      connections: endpoint.slots + SPARE_CONNECTIONS,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      headersTimeout: 0,
      bodyTimeout: 0,
      // A stream passes through; a service's answer is held in memory until it is complete.
      ...(endpoint.kind === 'service' ? { maxResponseSize: maxAnswerBytes } : {}),
    });
  }

  /** Runs an attempt and posts how it ended to the decider. */
  async run(action: ActionOf<'dispatch'>): Promise<void> {
    const exchange = this.#exchanges.find(action.request.id);
    const running: RunningAttempt = { controller: new AbortController(), cancelled: false };
    const { id: attemptId } = action.attempt;
    this.#running.set(attemptId, running);
    const tokens = new TokenCounter((count) => {
      this.#decider.post({ kind: 'tokens-arrived', attemptId, count });
    });
    let end: AttemptEnd;
    try {
      if (exchange === undefined) throw new AttemptError('reset', 'not-run', 'the caller left');
      exchange.restart();
      end = {
        kind: 'complete',
        outputTokens: await this.#call(action, exchange, running, tokens),
      };
    } catch (error) {
      end = toAttemptEnd(error, running, tokens.total);
    } finally {
      this.#running.delete(attemptId);
    }
    if (end.kind === 'complete') this.#exchanges.take(action.request.id)?.finish();
    tokens.flush();
    this.#decider.post({ kind: 'attempt-ended', attemptId, end });
  }

  /** Cancels an attempt; the endpoint learns it from the closed connection. */
  cancel(attemptId: string): void {
    const running = this.#running.get(attemptId);
    if (running === undefined) return;
    running.cancelled = true;
    running.controller.abort();
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.#pool.destroy();
  }

  async #call(
    action: ActionOf<'dispatch'>,
    exchange: Exchange,
    running: RunningAttempt,
    tokens: TokenCounter,
  ): Promise<number> {
    let isPaused = false;
    const silenceTimer = setTimeout(() => {
      // While the caller does not read, the silence is not the endpoint's fault.
      if (isPaused) return;
      running.controller.abort(
        new AttemptError('silent', 'may-have-run', 'the connection is silent'),
      );
    }, action.silenceTimeoutMs);
    const progress: AttemptProgress = {
      onAccepted: () => {
        silenceTimer.refresh();
        this.#decider.post({ kind: 'attempt-accepted', attemptId: action.attempt.id });
      },
      onTokens: (count) => tokens.add(count),
      onBytes: () => {
        isPaused = false;
        silenceTimer.refresh();
      },
      onPause: () => {
        isPaused = true;
      },
    };
    const { signal } = running.controller;
    try {
      if (exchange.payload.kind === 'generate') {
        return await this.#callEngine(action, exchange, exchange.payload, progress, signal);
      }
      exchange.writeAnswer(await this.#callService(action, exchange.payload, progress, signal));
      return 1;
    } finally {
      clearTimeout(silenceTimer);
    }
  }

  #callEngine(
    action: ActionOf<'dispatch'>,
    exchange: Exchange,
    payload: PayloadOf<'generate'>,
    progress: AttemptProgress,
    signal: AbortSignal,
  ): Promise<number> {
    const streamOptions = { include_usage: true };
    const body = { ...payload.body, stream: true, stream_options: streamOptions };
    const reader = new StreamReader(action.attempt.id, exchange, progress, signal);
    const options = {
      method: 'POST',
      path: payload.path,
      headers: { ...this.#attemptHeaders(action), 'content-type': 'application/json' },
      body: JSON.stringify(body),
    } as const;
    this.#pool.dispatch(options, reader);
    return reader.result;
  }

  async #callService(
    action: ActionOf<'dispatch'>,
    payload: PayloadOf<'service'>,
    progress: AttemptProgress,
    signal: AbortSignal,
  ): Promise<ServiceAnswer> {
    const response = await this.#pool.request({
      method: payload.method,
      path: payload.path,
      headers: { ...payload.headers, ...this.#attemptHeaders(action) },
      body: payload.body.length > 0 ? payload.body : null,
      signal,
    });
    await checkStatus(response);
    progress.onAccepted();
    const answer = await readServiceAnswer(
      action,
      response,
      async () => payload.method === 'HEAD' || this.#isPortOpen(),
    );
    signal.throwIfAborted();
    return answer;
  }

  /** Says whether the service accepts connections after an answer that ended with its own. */
  async #isPortOpen(): Promise<boolean> {
    const { hostname, port, protocol } = new URL(this.#endpoint.url);
    const target = {
      host: hostname.replace(/^\[|\]$/g, ''),
      port: Number(port) || DEFAULT_PORTS[protocol]!,
    };
    const connect = (timeoutMs: number) => checkPort(target, clock, timeoutMs);
    return (await checkEnd(connect, now())) === 'open';
  }

  #attemptHeaders({ attempt, request }: ActionOf<'dispatch'>): Record<string, string> {
    const requestClass = this.#decider.core.table.view?.classes.get(request.classId);
    return {
      [REQUEST_ID_HEADER]: attempt.id,
      [PRIORITY_HEADER]: String(tierRank(requestClass?.tier ?? 'background')),
      [TIMEOUT_HEADER]: String(Math.max(1, Math.round(request.deadline - now()))),
    };
  }
}
