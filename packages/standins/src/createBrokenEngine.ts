import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

import { REQUEST_ID_HEADER } from '@filbertlatch/router';

/** Points at which an attempt breaks. */
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

/** A point at which an attempt breaks. */
export type EngineFault = (typeof engineFaults)[number];

/** A stand-in engine that breaks its first attempts and answers all later ones whole. */
export interface BrokenEngine {
  readonly url: string;
  /** Ids of the attempts that it began to compute, in order. */
  readonly runs: readonly string[];
  /** Attempts that reached it, computed or not. */
  readonly attempts: { count: number };
  stop(): Promise<void>;
}

const TOKENS = 6;
const TOKENS_BEFORE_FAULT = 3;
const HALF_BODY_BYTES = 16_384;

class BrokenAnswer {
  readonly #id: string;

  readonly #response: ServerResponse;

  constructor(request: IncomingMessage, response: ServerResponse) {
    this.#id = String(request.headers[REQUEST_ID_HEADER]);
    this.#response = response;
  }

  begin(): void {
    this.#response.writeHead(200, { 'content-type': 'text/event-stream' });
    this.#response.flushHeaders();
  }

  token(index: number, id = this.#id): void {
    const choice = { index: 0, delta: { content: ` w${index}` }, finish_reason: null };
    this.send(JSON.stringify({ id, object: 'chat.completion.chunk', choices: [choice] }));
  }

  tokens(count: number): void {
    for (let index = 0; index < count; index += 1) this.token(index);
  }

  send(data: string): void {
    this.#response.write(`data: ${data}\n\n`);
  }

  whole(): void {
    this.begin();
    this.tokens(TOKENS);
    this.send('[DONE]');
    this.#response.end();
  }

  break(fault: EngineFault): void {
    const response = this.#response;
    if (fault === 'status-500' || fault === 'status-503') {
      response.writeHead(fault === 'status-500' ? 500 : 503).end('{}');
      return;
    }
    this.begin();
    if (fault === 'wrong-id') {
      this.token(0, 'a-of-another');
      return;
    }
    if (fault !== 'before-first-token') this.tokens(TOKENS_BEFORE_FAULT);
    if (fault === 'silence') return;
    if (fault === 'malformed-event') this.send('{"id":');
    else if (fault === 'error-event') this.send('{"error":{"message":"out of memory"}}');
    else if (fault === 'last-event-lost') {
      for (let index = TOKENS_BEFORE_FAULT; index < TOKENS; index += 1) this.token(index);
      response.end();
    } else setImmediate(() => response.destroy());
  }
}

const unsentFaults: readonly EngineFault[] = ['after-headers', 'half-body'];
const uncomputedFaults: readonly EngineFault[] = ['status-503', 'status-500'];

/** Starts a stand-in engine that breaks its first `broken` attempts. */
export async function createBrokenEngine(
  fault: EngineFault,
  broken: number,
): Promise<BrokenEngine> {
  const runs: string[] = [];
  const attempts = { count: 0 };
  const sockets = new Set<Socket>();

  const answer = (request: IncomingMessage, response: ServerResponse, isBroken: boolean) => {
    const isComputed = !isBroken || !uncomputedFaults.includes(fault);
    if (isComputed) runs.push(String(request.headers[REQUEST_ID_HEADER]));
    const written = new BrokenAnswer(request, response);
    if (isBroken) written.break(fault);
    else written.whole();
  };
  const server = createServer((request, response) => {
    if (request.method !== 'POST') {
      response.writeHead(503).end();
      return;
    }
    attempts.count += 1;
    const isBroken = attempts.count <= broken;
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
      if (isBroken && unsentFaults.includes(fault)) request.socket.destroy();
      else answer(request, response, isBroken);
    });
  });
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    if (fault !== 'after-connect' || attempts.count >= broken) return;
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
