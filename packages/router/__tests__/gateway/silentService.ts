import type { ServerResponse, IncomingMessage } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import type { Configuration, RegisteredEndpoint, Route } from '@filbertlatch/core';

import { FakePeer, serve } from './fakePeer.js';
import {
  call,
  createRoute,
  createSource,
  PAUSE_HEADER,
  startEndpoint,
  startGateway,
  testConfiguration,
  waitUntil,
  type TestEndpoint,
  type TestGateway,
} from './fixtures.js';
import { VmLink } from './vmLink.js';

const repeatable = { attempts: 3, targetMs: 400, gapTargetMs: 240, timeoutMs: 8000 };

/** Creates a configuration in which some terms of resumable streams differ. */
function createConfiguration(resumed: Partial<Route>): Configuration {
  const routes = testConfiguration.routes.map((route) => {
    if (route.id === 'resumed') return createRoute({ ...route, ...repeatable, ...resumed });
    return route.id === 'safe' ? createRoute({ ...route, ...repeatable }) : route;
  });
  return { ...testConfiguration, routes };
}

/** Events of a whole stream. */
export const EVENTS = 20;
const GAP_MS = 40;

/** Formats one event of a stream. */
export function formatEvent(id: number, paddingBytes = 0): string {
  return `id: ${id}\ndata: event ${id}${'x'.repeat(paddingBytes)}\n\n`;
}

/** Body of a whole stream. */
export const WHOLE_STREAM = Array.from({ length: EVENTS }, (_, index) =>
  formatEvent(index + 1),
).join('');

/** One request that reached an endpoint; instants of `performance.now()`. */
export interface Run {
  readonly endpointId: string;
  readonly after: number;
  readonly at: number;
  /** Events that it has sent. */
  events: number;
  /** Null while it runs. */
  endedAt: number | null;
}

/** Handles a request at its start and after each event; returns false to have it served. */
export type Trouble = (run: Run, response: ServerResponse) => boolean;

/** Refuses a request as not run, and wants no other until an instant of `performance.now()`. */
export function pause(response: ServerResponse, until: number): void {
  const seconds = Math.max(0.05, (until - performance.now()) / 1000).toFixed(3);
  response.writeHead(503, { 'x-not-run': '1', [PAUSE_HEADER]: seconds }).end();
}

/** Endpoints that fall silent at the same time, over links that a test cuts, behind one VM. */
export class SilentService {
  readonly runs: Run[] = [];

  readonly links: VmLink[] = [];

  readonly peers: readonly FakePeer[];

  vm!: TestGateway;

  /** Handles requests in a test's way; null serves all. */
  trouble: Trouble | null = null;

  /** Event within which all endpoints fall silent; null for none. */
  silentWithin: number | null = null;

  /** Events of a stream. */
  events = EVENTS;

  /** Bytes that each event has in addition. */
  paddingBytes = 0;

  readonly #endpoints: TestEndpoint[] = [];

  /** Resolves when the endpoints go on; null while they are not silent. */
  #silence: Promise<void> | null = null;

  #endSilence: (() => void) | null = null;

  private constructor(peers: readonly FakePeer[]) {
    this.peers = peers;
  }

  /** Plays a test with endpoints, and peers that carry requests as given. */
  static async play(
    answers: readonly FakePeer['answer'][],
    test: (service: SilentService) => Promise<void>,
    endpoints = 2,
    resumed: Partial<Route> = {},
  ): Promise<void> {
    const service = new SilentService(
      answers.map((answer, index) => new FakePeer(`peer-${index}`, answer ?? serve)),
    );
    await service.#start(endpoints, createConfiguration(resumed));
    try {
      await test(service);
    } finally {
      service.#stop();
    }
  }

  /** Sends a request as a caller. */
  call(path: string, headers: Record<string, string> = {}) {
    return call(this.vm.callers, path, { method: 'POST', headers });
  }

  /** Waits until requests have reached endpoints, and the latest has sent some events. */
  async waitForRun(count: number, events: number): Promise<Run> {
    await waitUntil(() => this.runs.length >= count && this.runs.at(-1)!.events >= events);
    return this.runs.at(-1)!;
  }

  /** Lets all endpoints be silent until `wake`: they take connections, and answer nothing. */
  fallSilent(): void {
    this.#silence ??= new Promise((resolve) => {
      this.#endSilence = resolve;
    });
  }

  /** Waits until the endpoints are silent. */
  async waitForSilence(): Promise<void> {
    await waitUntil(() => this.#silence !== null);
  }

  /** Ends the silence. */
  wake(): void {
    this.#silence = null;
    this.#endSilence?.();
  }

  async #start(endpoints: number, configuration: Configuration): Promise<void> {
    for (let index = 0; index < endpoints; index += 1) {
      const id = `e${index}`;
      const endpoint = await startEndpoint(
        id,
        (request, response) => {
          void this.#run(id, request, response);
        },
        (_request, response) => {
          void this.#answerHealth(id, response);
        },
      );
      this.#endpoints.push(endpoint);
      this.links.push(await VmLink.create(endpoint.endpoint.address));
    }
    this.vm = await startGateway(createSource(configuration, this.#seen()));
    await Promise.all(this.peers.map((peer) => peer.start(this.vm.control)));
    await waitUntil(async () => (await call(this.vm.ready, '/')).status === 200);
  }

  #seen(): RegisteredEndpoint[] {
    return this.#endpoints.map(({ endpoint }, index) => ({
      ...endpoint,
      version: 'v1',
      address: this.links[index]!.address,
    }));
  }

  #stop(): void {
    this.wake();
    this.vm.gateway.stop();
    this.peers.forEach((peer) => peer.stop());
    this.links.forEach((link) => link.close());
    this.#endpoints.forEach((endpoint) => endpoint.close());
  }

  async #answerHealth(id: string, response: ServerResponse): Promise<void> {
    await this.#silence;
    response.setHeader('x-instance', id);
    response.end();
  }

  async #run(id: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
    request.resume();
    const after = Number(request.headers['x-after'] ?? 0);
    const run: Run = { endpointId: id, after, at: performance.now(), events: 0, endedAt: null };
    this.runs.push(run);
    response.on('error', () => {});
    response.on('close', () => {
      run.endedAt = performance.now();
    });
    if (this.trouble?.(run, response) === true) return;
    await this.#silence;
    const headers = { 'x-request': String(request.headers['x-request']), 'x-mac': 'mac' };
    if (!(request.url ?? '').startsWith('/resumed/')) {
      response.writeHead(200, headers).end('answer');
      return;
    }
    response.writeHead(200, { ...headers, 'content-type': 'text/event-stream' });
    for (let event = after + 1; event <= this.events && !response.destroyed; event += 1) {
      const bytes = formatEvent(event, this.paddingBytes);
      response.write(bytes.slice(0, 8));
      if (this.silentWithin === event) {
        this.silentWithin = null;
        this.fallSilent();
        await this.#silence;
      }
      response.write(bytes.slice(8));
      run.events += 1;
      await sleep(GAP_MS);
      await this.#silence;
      if (this.trouble?.(run, response) === true) return;
    }
    response.end();
  }
}
