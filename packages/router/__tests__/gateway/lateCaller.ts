import { Agent, request as sendRequest, type IncomingMessage } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { EVENTS } from './lateEndpoint.js';

/** How a request ended for its caller; `gave-up` when its time was over first. */
export type LateEnd = 'served' | 'refused' | 'failed' | 'cut' | 'gave-up';

/** One request as its caller saw it; instants in milliseconds of the main thread's clock. */
export interface LateCall {
  readonly id: string;
  readonly path: string;
  readonly isKept: boolean;
  readonly waitMs: number;
  sentAt: number;
  /** Instant at which the caller closed its connection without an answer; null if it did not. */
  closedAt: number | null;
  end: LateEnd | null;
}

const PROMISES = [408, 421, 429, 503];

const WHOLE_STREAM = Array.from({ length: EVENTS }, (_, index) => `id: ${index + 1}\n`).join('');

function nameEnd(response: IncomingMessage, body: string, path: string): LateEnd {
  const { complete, statusCode = 0 } = response;
  if (!complete) return 'cut';
  if (PROMISES.includes(statusCode)) return 'refused';
  if (statusCode !== 200) return 'failed';
  const whole = path === '/resumed/' || path === '/stream/' ? WHOLE_STREAM : 'answer';
  return body.replaceAll('\n\n', '\n') === whole ? 'served' : 'failed';
}

function createCall(id: string, path: string, isKept: boolean, waitMs: number): LateCall {
  return { id, path, isKept, waitMs, sentAt: performance.now(), closedAt: null, end: null };
}

/** Callers that close their connection when their time is over. */
export class LateCallers {
  readonly calls: LateCall[] = [];

  readonly #agent = new Agent({ keepAlive: true, maxFreeSockets: 1000 });

  readonly #address: string;

  constructor(address: string) {
    this.#address = address;
  }

  /** Opens connections that later requests use, by as many requests that are rejected at once. */
  async keepConnections(count: number): Promise<void> {
    const create = (index: number) => createCall(`kept-${index}`, '/none/', true, 5000);
    await Promise.all(Array.from({ length: count }, (_, index) => this.#play(create(index))));
    await sleep(50);
  }

  /** Sends a request; resolves when it has an answer or its caller has closed the connection. */
  async send(id: string, path: string, isKept: boolean, waitMs: number): Promise<void> {
    const lateCall = createCall(id, path, isKept, waitMs);
    this.calls.push(lateCall);
    await this.#play(lateCall);
  }

  /** Closes the kept connections. */
  stop(): void {
    this.#agent.destroy();
  }

  async #play(lateCall: LateCall): Promise<void> {
    const { id, path, isKept, waitMs } = lateCall;
    const [host, port] = this.#address.split(':');
    const headers = {
      host: 'desk.example',
      'x-request': id,
      'x-key': 'right-key',
      'x-remaining': String(waitMs),
    };
    const target = { host, port: Number(port), path, method: 'POST', headers };
    await new Promise<void>((resolve) => {
      const outgoing = sendRequest({ ...target, agent: isKept ? this.#agent : false });
      const settle = (end: LateEnd) => {
        lateCall.end ??= end;
        resolve();
      };
      const timer = setTimeout(() => {
        lateCall.closedAt = performance.now();
        settle('gave-up');
        outgoing.destroy();
      }, waitMs);
      outgoing.on('response', (response) => {
        let body = '';
        response.setEncoding('latin1');
        response.on('data', (chunk: string) => {
          body += chunk;
        });
        response.on('error', () => {
          // Reported by `complete`.
        });
        response.on('close', () => {
          clearTimeout(timer);
          settle(nameEnd(response, body, path));
        });
      });
      outgoing.on('error', () => {
        clearTimeout(timer);
        settle('cut');
      });
      outgoing.end('question');
    });
  }
}
