import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { findFreeAddress } from '../../src/testing/index.js';
import type { ChangingStore } from './changingStore.js';
import { LEAVING_HEADER } from './fixtures.js';
import { listenAgain } from './keptPort.js';

const DEFAULT_LEASE_MS = 900;

/** Time after its notice from which an endpoint that leaves gets no more requests. */
const LEAVE_NOTICE_MS = 300;

/** How endpoints end and come back. */
export interface EndpointLifetime {
  /** How the endpoint ends: its connections are reset or closed, or nothing answers any more. */
  readonly end: 'reset' | 'close' | 'silent';
  /** Whether an endpoint restarts under its id or registers under another. */
  readonly identity: 'kept' | 'new';
  /** Time after which the store removes the entry of an endpoint that is down; 900 ms unless set. */
  readonly leaseMs?: number;
}

/** An endpoint that ends, with all that runs there, and is back later. */
export abstract class RestartingEndpoint {
  readonly #name: string;

  readonly #life: EndpointLifetime;

  readonly #store: ChangingStore;

  readonly #sockets = new Set<Socket>();

  #lifetime = 0;

  #address: string | null = null;

  #server: Server | null = null;

  /** True from the end of a silent endpoint to its restart: it accepts and answers nothing. */
  #isMute = false;

  #isStopped = false;

  /** Version of its software. */
  protected version: string | null = null;

  /** Returns further headers of answers to health checks. */
  protected getHealthHeaders: (() => Readonly<Record<string, string>>) | null = null;

  /** Answers that have not ended. */
  #running = 0;

  readonly #slots: number;

  constructor(name: string, life: EndpointLifetime, store: ChangingStore, slots = 64) {
    this.#name = name;
    this.#life = life;
    this.#store = store;
    this.#slots = slots;
  }

  /** Number of the present lifetime. */
  protected get lifetime(): number {
    return this.#lifetime;
  }

  /** True from an end to the restart. */
  get isDown(): boolean {
    return this.#isMute || this.#server === null;
  }

  protected abstract run(request: IncomingMessage, response: ServerResponse): Promise<void>;

  get #id(): string {
    return this.#life.identity === 'kept' ? this.#name : `${this.#name}-${this.#lifetime}`;
  }

  async start(): Promise<void> {
    this.#isMute = false;
    const server = createServer((request, response) => this.#handle(request, response));
    server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.on('close', () => this.#sockets.delete(socket));
    });
    this.#address ??= await findFreeAddress();
    await listenAgain(server, this.#address);
    this.#server = server;
    this.#register();
  }

  /** Begins a lifetime: the store and the answers tell of it from now on. */
  #register(): void {
    this.#lifetime += 1;
    this.#put('ready');
  }

  #put(state: 'ready' | 'draining'): void {
    this.#store.put({
      id: this.#id,
      serviceId: 'desk',
      address: this.#address!,
      zone: 'zone-a',
      slots: this.#slots,
      state,
      startedAt: this.#lifetime,
      version: this.version,
    });
  }

  stop(): void {
    this.#isStopped = true;
    this.#close();
  }

  #close(): void {
    this.#server?.close();
    this.#server = null;
    this.#closeSockets();
  }

  #closeSockets(): void {
    this.#sockets.forEach((socket) => {
      if (this.#life.end === 'close') socket.destroySoon();
      else socket.resetAndDestroy();
    });
  }

  #handle(request: IncomingMessage, response: ServerResponse): void {
    response.on('error', () => {});
    if (this.#isMute) return;
    if (request.url === '/health') {
      const headers = this.getHealthHeaders?.() ?? {};
      const status = headers[LEAVING_HEADER] === undefined ? 200 : 503;
      response.writeHead(status, { 'x-instance': this.#id, ...headers }).end();
    } else if (request.headers['x-endpoint'] !== this.#id) {
      response.writeHead(421, { 'x-not-run': '1', 'x-instance': this.#id }).end();
    } else {
      this.#running += 1;
      response.on('close', () => {
        this.#running -= 1;
      });
      void this.run(request, response);
    }
  }

  /** Leaves as planned: ends directly after its last answer and is back later under another id. */
  async leave(downMs: number, change: () => void = () => {}): Promise<void> {
    const id = this.#id;
    this.#put('draining');
    await sleep(LEAVE_NOTICE_MS);
    while (this.#running > 0) await sleep(1);
    this.#close();
    this.#store.remove(id);
    change();
    await sleep(downMs);
    if (!this.#isStopped) await this.start();
  }

  /** Has its entry removed, without a word before, and serves on. */
  withdraw(): void {
    this.#store.remove(this.#id);
  }

  /** Ends for good; the store knows at once. */
  end(): void {
    this.#store.remove(this.#id);
    this.stop();
  }

  /** Ends the endpoint; it is back after a time, or at once for 0. */
  async crash(downMs: number): Promise<void> {
    const id = this.#id;
    const lifetime = this.#lifetime;
    const isGone = () => this.#lifetime === lifetime || this.#id !== id;
    setTimeout(() => {
      if (isGone()) this.#store.remove(id);
    }, this.#life.leaseMs ?? DEFAULT_LEASE_MS);
    if (downMs === 0) {
      // Another process accepts at once: no connection is ever refused.
      this.#closeSockets();
      this.#register();
      return;
    }
    if (this.#life.end === 'silent') this.#isMute = true;
    else this.#close();
    await sleep(downMs);
    if (this.#life.end === 'silent') this.#close();
    if (!this.#isStopped) await this.start();
  }
}
