import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { findFreeAddress } from '../../src/testing/index.js';
import { ChangingStore } from './changingStore.js';
import {
  call,
  startEndpoint,
  testConfiguration,
  waitUntil,
  type CallerAnswer,
  type TestEndpoint,
} from './fixtures.js';
import { createVms } from './restartableVm.js';
import { blockLoop } from './threadedEndpoint.js';
import { readMetric } from './threadedVm.js';
import { sendUnframedAnswer } from './unframedEndpoint.js';

/** What else goes on when an endpoint ends in the middle of an answer. */
export interface UnprovenEnd {
  /** What the other endpoints do then: health checks wait for a slot, all waits, or all refuse. */
  readonly others: 'sound' | 'full' | 'silent' | 'gone';
  /** Whether the endpoint has sent the whole answer before it ends. */
  readonly isWhole: boolean;
  /** Whether the endpoint has said before that it leaves. */
  readonly isLeaving: boolean;
  /** Time from the end of the answer to that of the endpoint's port. */
  readonly portClosesAfterMs: number;
  /** Time for which the VMs stand still before the port closes. */
  readonly standstillMs: number;
  /** Whether the caller's VM sends the request by way of another one. */
  readonly isByPeer: boolean;
}

/** What a caller saw of the answer, and how often its request ran. */
export interface UnprovenOutcome {
  readonly answer: CallerAnswer | null;
  readonly runs: number;
  /** Requests that the caller's VM sent by way of another one. */
  readonly transits: number;
}

/** Name of the request whose endpoint ends. */
const DOOMED_ID = 'doomed';

const ENDPOINTS = 4;
const PART_GAP_MS = 60;
const CRASH_AFTER_MS = 150;

/** Time of a health check at an endpoint whose slots are taken. */
const FULL_HEALTH_MS = 400;

const DEADLINE_MS = 2000;

/** Time from the end of the answer to a standstill of the VMs: their check holds a connection by then. */
const STANDSTILL_AT_MS = 25;

/** Plays one end with gateways, endpoints and a caller on loopback. */
class UnprovenFleet {
  readonly #end: UnprovenEnd;

  readonly #store = new ChangingStore(testConfiguration);

  readonly #endpoints: TestEndpoint[] = [];

  /** Connections of endpoints that have not ended. */
  readonly #sockets = new Map<string, Set<Socket>>();

  #endedId: string | null = null;

  #hasBegun = false;

  #runs = 0;

  constructor(end: UnprovenEnd) {
    this.#end = end;
  }

  async play(path: string): Promise<UnprovenOutcome> {
    for (let index = 0; index < ENDPOINTS; index += 1) await this.#addEndpoint(`e${index}`);
    const vms = await createVms(3, await this.#createStores());
    try {
      await Promise.all(vms.map((vm) => vm.start()));
      const [vm] = vms;
      if (this.#end.isByPeer) {
        await waitUntil(async () => {
          await call(vm!.callers, '/open/', { headers: { 'x-request': 'first' } });
          return (await readMetric(vm!, 'change="lost"')) > 0;
        });
      }
      const headers = { 'x-request': DOOMED_ID, 'x-remaining': String(DEADLINE_MS) };
      const answer = await call(vm!.callers, path, { method: 'POST', headers }).catch(() => null);
      const transits = await readMetric(vm!, 'transits_total{side="sent"');
      return { answer, runs: this.#runs, transits };
    } finally {
      vms.forEach((vm) => vm.stop());
      this.#endpoints.forEach((endpoint) => endpoint.close());
    }
  }

  /** Views of the VMs: by way of a peer, the first one's has addresses that nothing listens on. */
  async #createStores(): Promise<ChangingStore[]> {
    if (!this.#end.isByPeer) return [this.#store, this.#store, this.#store];
    const lost = new ChangingStore(testConfiguration);
    for (const { endpoint } of this.#endpoints) {
      lost.put({ ...endpoint, address: await findFreeAddress() });
    }
    return [lost, this.#store, this.#store];
  }

  async #addEndpoint(id: string): Promise<void> {
    const endpoint = await startEndpoint(
      id,
      (request, response) => this.#answer(id, request, response),
      (request, response) => this.#answerHealth(id, request, response),
    );
    this.#endpoints.push(endpoint);
    this.#store.put(endpoint.endpoint);
  }

  #keep(id: string, { socket }: IncomingMessage): void {
    const sockets = this.#sockets.get(id) ?? new Set();
    this.#sockets.set(id, sockets.add(socket));
  }

  #answer(id: string, request: IncomingMessage, response: ServerResponse): void {
    this.#keep(id, request);
    if (request.headers['x-request'] !== DOOMED_ID) {
      response.writeHead(200, { 'x-request': 'first', 'x-mac': 'mac' }).end('answer');
      return;
    }
    this.#runs += 1;
    const isDoomed = !this.#hasBegun;
    this.#hasBegun = true;
    if (!isDoomed && this.#end.others === 'silent') return;
    const isOver = () => this.#endedId === id;
    const sent = sendUnframedAnswer(request, response, { gapMs: PART_GAP_MS, isOver });
    if (isDoomed) void this.#endAfter(id, this.#end.isWhole ? sent : sleep(CRASH_AFTER_MS));
  }

  #answerHealth(id: string, request: IncomingMessage, response: ServerResponse): void {
    this.#keep(id, request);
    const { others } = this.#end;
    if (this.#endedId === id || (this.#hasBegun && others === 'silent')) return;
    const waitMs = this.#hasBegun && others === 'full' ? FULL_HEALTH_MS : 0;
    setTimeout(() => response.writeHead(200, { 'x-instance': id }).end(), waitMs);
  }

  async #endAfter(id: string, time: Promise<unknown>): Promise<void> {
    const ended = this.#endpoints.find(({ endpoint }) => endpoint.id === id)!;
    if (this.#end.isLeaving) this.#store.put({ ...ended.endpoint, state: 'draining' });
    await time;
    this.#endedId = id;
    this.#sockets.get(id)?.forEach((socket) => socket.destroySoon());
    if (this.#end.others === 'gone') this.#endpoints.forEach((endpoint) => endpoint.close());
    const { portClosesAfterMs, standstillMs } = this.#end;
    if (standstillMs > 0) setTimeout(() => setImmediate(blockLoop, standstillMs), STANDSTILL_AT_MS);
    if (portClosesAfterMs > 0) await sleep(portClosesAfterMs);
    ended.close();
  }
}

/** Ends an endpoint in the middle of its answer to a request to a path. */
export async function playUnprovenEnd(end: UnprovenEnd, path: string): Promise<UnprovenOutcome> {
  return new UnprovenFleet(end).play(path);
}
