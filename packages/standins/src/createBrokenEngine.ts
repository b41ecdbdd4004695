import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

import { REQUEST_ID_HEADER } from '@filbertlatch/router';

/** All ways in which the engine can break an attempt. */
export const engineFaults = [
  'after-connect',
  'after-headers',
  'half-body',
  'status-500',
  'status-503',
  'before-first-token',
  'mid-stream',
  'last-event-lost',
  'wrong-id',
  'malformed-event',
  'error-event',
  'silence',
] as const;

/** How the engine breaks an attempt: where it cuts the connection, or what it sends instead. */
export type EngineFault = (typeof engineFaults)[number];

/** A stand-in engine that breaks its first attempts and answers all later ones completely. */
export interface BrokenEngine {
  readonly url: string;
  /** Request ids of the attempts that it began to compute, in order. */
  readonly runs: readonly string[];
  /** Number of attempts that reached it, computed or not. */
  readonly attempts: { count: number };
  stop(): Promise<void>;
}

const ANSWER_TOKENS = 6;
/** Tokens sent before a fault in the middle of a stream. */
const TOKENS_BEFORE_FAULT = 3;
/** Received bytes of the request body after which `half-body` cuts the connection. */
const HALF_BODY_BYTES = 16_384;

/** The answer to one attempt, sent completely or broken by a fault. */
class BrokenAnswer {
  readonly #id: string;

  readonly #response: ServerResponse;

  constructor(request: IncomingMessage, response: ServerResponse) {
    this.#id = String(request.headers[REQUEST_ID_HEADER]);
    this.#response = response;
  }

  sendHead(): void {
    this.#response.writeHead(200, { 'content-type': 'text/event-stream' });
    this.#response.flushHeaders();
  }

  /** Sends the event of one token. */
  token(index: number, id = this.#id): void {
    const choice = { index: 0, delta: { content: ` w${index}` }, finish_reason: null };
    this.sendEvent(JSON.stringify({ id, object: 'chat.completion.chunk', choices: [choice] }));
  }

  /** Sends the first `count` tokens. */
  tokens(count: number): void {
    for (let index = 0; index < count; index += 1) this.token(index);
  }

  sendEvent(data: string): void {
    this.#response.write(`data: ${data}\n\n`);
  }

  /** Sends the complete answer. */
  whole(): void {
    this.sendHead();
    this.tokens(ANSWER_TOKENS);
    this.sendEvent('[DONE]');
    this.#response.end();
  }

  /** Sends what comes before the fault and breaks the answer. */
  breakWith(fault: EngineFault): void {
    const response = this.#response;
    if (fault === 'status-500' || fault === 'status-503') {
      response.writeHead(fault === 'status-500' ? 500 : 503).end('{}');
      return;
    }
    this.sendHead();
    if (fault === 'wrong-id') {
      this.token(0, 'a-of-another');
      return;
    }
    if (fault !== 'before-first-token') this.tokens(TOKENS_BEFORE_FAULT);
    if (fault === 'silence') return;
    if (fault === 'malformed-event') this.sendEvent('{"id":');
    else if (fault === 'error-event') this.sendEvent('{"error":{"message":"out of memory"}}');
    else if (fault === 'last-event-lost') {
      for (let index = TOKENS_BEFORE_FAULT; index < ANSWER_TOKENS; index += 1) this.token(index);
      response.end();
    } else setImmediate(() => response.destroy());
  }
}

/** Faults that cut the connection before anything of the answer is sent. */
const unansweredFaults: readonly EngineFault[] = ['after-headers', 'half-body'];
/** Faults whose attempts do not count as computed. */
const uncomputedFaults: readonly EngineFault[] = ['status-503', 'status-500'];

/** Starts a stand-in engine that breaks its first `brokenCount` attempts with `fault`. */
export async function createBrokenEngine(
  fault: EngineFault,
  brokenCount: number,
): Promise<BrokenEngine> {
  const runs: string[] = [];
  const attempts = { count: 0 };
  const sockets = new Set<Socket>();

  const answer = (request: IncomingMessage, response: ServerResponse, isBroken: boolean) => {
    const isComputed = !isBroken || !uncomputedFaults.includes(fault);
    if (isComputed) runs.push(String(request.headers[REQUEST_ID_HEADER]));
    const written = new BrokenAnswer(request, response);
    if (isBroken) written.breakWith(fault);
    else written.whole();
  };
  const server = createServer((request, response) => {
    if (request.method !== 'POST') {
      response.writeHead(503).end();
      return;
    }
    attempts.count += 1;
    const isBroken = attempts.count <= brokenCount;
    if (isBroken && fault === 'after-headers') {
      request.socket.destroy();
      return;
    }
    let received = 0;
    request.on('data', (bytes: Buffer) => {
      received += bytes.length;
      if (isBroken && fault === 'half-body' && received > HALF_BODY_BYTES) request.socket.destroy();
    });
    request.on('end', () => {
      if (isBroken && unansweredFaults.includes(fault)) request.socket.destroy();
      else answer(request, response, isBroken);
    });
  });
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    if (fault !== 'after-connect' || attempts.count >= brokenCount) return;
    attempts.count += 1;
    socket.destroy();
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  return {
    url: `http://127.0.0.1:${port}`,
    runs,
    attempts,
    stop: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        sockets.forEach((socket) => socket.destroy());
      }),
  };
}
