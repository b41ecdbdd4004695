import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import type { Random } from '@filbertlatch/core';

import { findFreeAddress } from '../../src/testing/index.js';
import type { ChangingStore } from './changingStore.js';
import { listenAgain } from './keptPort.js';
import type { LimitScenario } from './limitScenario.js';
import { VM_HEADER } from './restartableVm.js';

const RUN_MS = 20;

/** Length of a stream whose head is sent after `RUN_MS`. */
const STREAM_MS = 400;

/** Id under which health checks are counted, which do not tell who sends them. */
export const UNKNOWN_VM = 'unknown';

/** A request or health check that reached an endpoint; times are in milliseconds of one clock. */
export interface Arrival {
  readonly at: number;
  readonly vmId: string;
  readonly requestId: string | null;
  /** Time at which the endpoint first told this VM of a limit in this lifetime; null for never. */
  readonly toldAt: number | null;
}

/** An endpoint that names limits and counts what reaches it, by VM. */
export class LimitedEndpoint {
  readonly arrivals: Arrival[] = [];

  /** Ids of the requests that it has run. */
  readonly ranIds = new Set<string>();

  readonly #id: string;

  readonly #isLimited: boolean;

  readonly #scenario: LimitScenario;

  readonly #store: ChangingStore;

  readonly #random: Random;

  #lifetime = 0;

  readonly #sockets = new Set<Socket>();

  /** Time at which each VM was first told, in this lifetime. */
  readonly #toldAt = new Map<string, number>();

  #address: string | null = null;

  #server: Server | null = null;

  #beganAt = 0;

  constructor(
    id: string,
    isLimited: boolean,
    scenario: LimitScenario,
    store: ChangingStore,
    random: Random,
  ) {
    this.#id = id;
    this.#isLimited = isLimited;
    this.#scenario = scenario;
    this.#store = store;
    this.#random = random;
  }

  /** Starts the clock of the limits. */
  begin(): void {
    this.#beganAt = performance.now();
  }

  /** Returns the limit that it names at a time; null for none. */
  limitAt(at: number): number | null {
    if (!this.#isLimited || this.#beganAt === 0) return null;
    const change = this.#scenario.limits.findLast(({ atMs }) => at >= this.#beganAt + atMs);
    return change?.perSecond ?? null;
  }

  async start(): Promise<void> {
    const server = createServer((request, response) => this.#handle(request, response));
    server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.on('close', () => this.#sockets.delete(socket));
    });
    this.#address ??= await findFreeAddress();
    await listenAgain(server, this.#address);
    this.#server = server;
    this.#toldAt.clear();
    this.#lifetime += 1;
    this.#store.put({
      id: this.#id,
      serviceId: 'desk',
      address: this.#address,
      zone: 'zone-a',
      slots: 64,
      state: 'ready',
      startedAt: this.#lifetime,
      version: null,
    });
  }

  /** Ends and starts again under its id. */
  async restart(): Promise<void> {
    this.stop();
    await sleep(50);
    await this.start();
  }

  stop(): void {
    this.#server?.close();
    this.#server = null;
    this.#sockets.forEach((socket) => socket.resetAndDestroy());
  }

  #handle(request: IncomingMessage, response: ServerResponse): void {
    response.on('error', () => {});
    request.on('error', () => {});
    request.resume();
    const at = performance.now();
    const vmId = (request.headers[VM_HEADER] as string | undefined) ?? UNKNOWN_VM;
    const requestId = (request.headers['x-request'] as string | undefined) ?? null;
    this.arrivals.push({ at, vmId, requestId, toldAt: this.#toldAt.get(vmId) ?? null });
    if (request.url === '/health') {
      this.#writeHead(response, 200, {}, UNKNOWN_VM);
      response.end();
    } else if (this.#random.next() < this.#scenario.refused) {
      this.#writeHead(response, 503, { 'x-not-run': '1' }, vmId);
      response.end();
    } else {
      void this.#run(request, response, vmId);
    }
  }

  async #run(request: IncomingMessage, response: ServerResponse, vmId: string): Promise<void> {
    const requestId = request.headers['x-request'] as string;
    this.ranIds.add(requestId);
    const isBroken = this.#random.next() < this.#scenario.broken;
    await sleep(RUN_MS);
    if (isBroken) {
      response.socket?.resetAndDestroy();
      return;
    }
    const headers = { 'x-request': requestId, 'x-mac': 'mac' };
    this.#writeHead(response, 200, headers, vmId);
    if (request.url?.startsWith('/stream/') === true) {
      response.write('id: 1\n\n');
      await sleep(STREAM_MS);
    }
    response.end('id: 2\n\n');
  }

  #writeHead(
    response: ServerResponse,
    status: number,
    headers: Record<string, string>,
    vmId: string,
  ): void {
    const limit = this.limitAt(performance.now());
    if (limit !== null && !this.#toldAt.has(vmId)) this.#toldAt.set(vmId, performance.now());
    const limitHeaders = limit === null ? {} : { 'x-limit': String(limit) };
    response.writeHead(status, { ...headers, ...limitHeaders, 'x-instance': this.#id });
  }
}
