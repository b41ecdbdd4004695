import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';

import { findFreeAddress } from '../../src/testing/index.js';

const GOSSIP_MS = 50;

const recentContactMs = () => 10;

/** A VM whose links a test describes, and which answers transits as the test says. */
export class FakePeer {
  readonly id: string;

  /** Requests that came by way of it. */
  readonly requests: IncomingMessage[] = [];

  /** Answers a request; null refuses connections. */
  answer: ((request: IncomingMessage, response: ServerResponse) => void) | null;

  /** Returns the time since it last heard from the endpoints, in milliseconds. */
  contactAgeMs: () => number = recentContactMs;

  /** Fields of its messages besides those of a VM that has no news. */
  news: Record<string, unknown> = {};

  #address = '';

  readonly #server = createServer((request, response) => {
    this.requests.push(request);
    request.resume();
    response.on('error', () => {});
    this.answer?.(request, response);
  });

  readonly #socket = createSocket('udp4');

  #timer: NodeJS.Timeout | null = null;

  constructor(id: string, answer: FakePeer['answer']) {
    this.id = id;
    this.answer = answer;
  }

  /** Starts to tell the VM at a control address that it has links to all endpoints. */
  async start(control: string): Promise<void> {
    this.#address = await findFreeAddress();
    if (this.answer !== null) {
      this.#server.listen(Number(this.#address.split(':')[1]), '127.0.0.1');
      await once(this.#server, 'listening');
    }
    const [host, port] = control.split(':');
    const send = () => this.#socket.send(this.#createMessage(), Number(port), host);
    send();
    this.#timer = setInterval(send, GOSSIP_MS);
  }

  /** Control address. */
  get address(): string {
    return this.#address;
  }

  stop(): void {
    if (this.#timer !== null) clearInterval(this.#timer);
    this.#socket.close();
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #createMessage(): string {
    const params = {
      vmId: this.id,
      address: this.#address,
      isLeaving: false,
      hasStore: true,
      configurationVersion: 4,
      directoryRevision: 1,
      ...{ loads: [], paces: [], borders: [], demand: [], reads: [], members: [], crashes: [] },
      contact: {
        zone: 'zone-a',
        openTransits: 0,
        lostServices: [],
        contacts: [['desk', this.contactAgeMs()]],
      },
      ...this.news,
    };
    return JSON.stringify({ jsonrpc: '2.0', method: 'news', params });
  }
}

function encode(note: object): string {
  return encodeURIComponent(JSON.stringify(note));
}

/** Headers of an endpoint's answer as a VM sends it on. */
export function answerHeaders(request: IncomingMessage, origin: object | null = null) {
  return {
    'x-request': String(request.headers['x-request']),
    'x-mac': 'mac',
    'filbertlatch-transit': encode({ kind: 'answer', origin }),
  };
}

/** Answers as a VM whose endpoint has answered. */
export function serve(request: IncomingMessage, response: ServerResponse): void {
  response.writeHead(200, answerHeaders(request)).end('answer');
}

/** Creates an answer of a VM that has an error to tell. */
export function fail(status: number, reason: string, retryAfterMs: number | null = null) {
  return (_request: IncomingMessage, response: ServerResponse) => {
    const note = { kind: 'error', reason, retryAfterMs };
    response.writeHead(status, { 'filbertlatch-transit': encode(note) }).end('{}');
  };
}

/** Reads the terms of a request. */
export function readTermsOf(request: IncomingMessage): Record<string, unknown> {
  const value = String(request.headers['filbertlatch-transit']);
  return JSON.parse(decodeURIComponent(value)) as Record<string, unknown>;
}

/** Resets the connection of a request. */
export function reset(request: IncomingMessage): void {
  request.socket.resetAndDestroy();
}
