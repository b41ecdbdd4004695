import { once } from 'node:events';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import type { Random } from '@filbertlatch/core';

import type { ChangingStore } from './changingStore.js';
import { drawBetween, type CrashScenario } from './crashScenario.js';
import { findFreeAddress } from './fixtures.js';

/** Time after which the store removes the entry of an endpoint that is down. */
const LEASE_MS = 900;

const RUN_MS = 15;

/** Begin of the body of a request that crashes the endpoint. */
export const CRASHING_BODY = 'crash';

/** Begin of the id of a send that counts among the arrivals. */
export const COUNTED_SEND = 'counted';

/** What the endpoints saw of one request that crashes them. */
export interface CrashRecord {
  readonly arrivals: number[];
  readonly crashes: number[];
}

/** An endpoint that ends under a crashing request, with all that runs there, and is back later. */
export class CrashingEndpoint {
  readonly #scenario: CrashScenario;

  readonly #store: ChangingStore;

  readonly #random: Random;

  readonly #records: Map<string, CrashRecord>;

  readonly #sockets = new Set<Socket>();

  readonly #name: string;

  #lifetime = 0;

  #address: string | null = null;

  #server: Server | null = null;

  /** True from the end of a silent endpoint to its restart: it accepts and answers nothing. */
  #isMute = false;

  #isStopped = false;

  constructor(
    name: string,
    scenario: CrashScenario,
    store: ChangingStore,
    random: Random,
    records: Map<string, CrashRecord>,
  ) {
    this.#name = name;
    this.#scenario = scenario;
    this.#store = store;
    this.#random = random;
    this.#records = records;
  }

  get #id(): string {
    return this.#scenario.identity === 'kept' ? this.#name : `${this.#name}-${this.#lifetime}`;
  }

  async start(): Promise<void> {
    this.#isMute = false;
    const server = createServer((request, response) => this.#handle(request, response));
    server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.on('close', () => this.#sockets.delete(socket));
    });
    this.#address ??= await findFreeAddress();
    const [host, port] = this.#address.split(':');
    server.listen(Number(port), host);
    await once(server, 'listening');
    this.#server = server;
    this.#register();
  }

  /** Begins a lifetime: the store and the answers tell of it from now on. */
  #register(): void {
    this.#lifetime += 1;
    this.#store.put({
      id: this.#id,
      serviceId: 'desk',
      address: this.#address!,
      zone: 'zone-a',
      slots: 64,
      state: 'ready',
      startedAt: this.#lifetime,
    });
  }

  stop(): void {
    this.#isStopped = true;
    this.#close();
  }

  #close(): void {
    this.#server?.close();
    this.#server = null;
    this.#sockets.forEach((socket) => socket.resetAndDestroy());
  }

  #handle(request: IncomingMessage, response: ServerResponse): void {
    response.on('error', () => {});
    if (this.#isMute) return;
    if (request.url === '/health') {
      response.setHeader('x-instance', this.#id);
      response.end();
    } else if (request.headers['x-endpoint'] !== this.#id) {
      response.writeHead(421, { 'x-not-run': '1', 'x-instance': this.#id }).end();
    } else {
      void this.#run(request, response);
    }
  }

  async #run(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const lifetime = this.#lifetime;
    let body = '';
    request.on('data', (chunk: Buffer) => {
      body += chunk.toString();
    });
    request.on('error', () => {});
    const [kind, name = ''] = String(request.headers['x-request']).split('/');
    const record = this.#records.get(name);
    if (kind === COUNTED_SEND) record?.arrivals.push(performance.now());
    const isBystander = record === undefined;
    await sleep(isBystander ? drawBetween(this.#random, this.#scenario.bystanderRunMs) : RUN_MS);
    if (lifetime !== this.#lifetime || this.#isMute || this.#server === null) return;
    if (body.startsWith(CRASHING_BODY)) {
      record?.crashes.push(performance.now());
      void this.#crash();
    } else {
      response.writeHead(200, { 'x-request': request.headers['x-request'], 'x-mac': 'mac' });
      response.end('answer');
    }
  }

  async #crash(): Promise<void> {
    const { downMs, end } = this.#scenario;
    const id = this.#id;
    const lifetime = this.#lifetime;
    const isGone = () => this.#lifetime === lifetime || this.#id !== id;
    setTimeout(() => {
      if (isGone()) this.#store.remove(id);
    }, LEASE_MS);
    const delayMs = drawBetween(this.#random, downMs);
    if (delayMs === 0) {
      // Another process accepts at once: no connection is ever refused.
      this.#sockets.forEach((socket) => socket.resetAndDestroy());
      this.#register();
      return;
    }
    if (end === 'reset') this.#close();
    else this.#isMute = true;
    await sleep(delayMs);
    if (end === 'silent') this.#close();
    if (!this.#isStopped) await this.start();
  }
}
