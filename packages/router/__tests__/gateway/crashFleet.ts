import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';

import {
  createRandom,
  randomInteger,
  type Configuration,
  type Random,
  type RegisteredEndpoint,
} from '@filbertlatch/core';

import {
  createGateway,
  type Gateway,
  type PublicationBatch,
  type PublicationPart,
  type PublicationSource,
} from '../../src/gateway/index.js';
import { call, createRoute, findFreeAddress, testDialect, waitUntil } from './fixtures.js';

/** Time after the third crash from which the VMs must know of it. */
const SETTLE_MS = 3000;

/** Sends that a crashing request is allowed after that time. */
export const MAX_LATE_SENDS = 3;

/** Time after which the store removes the entry of an endpoint that is down. */
const LEASE_MS = 900;

/** Crashes after which the VMs must stop sending a request. */
const CRASHES_TO_STOP = 3;

/** Time between the restarts of two VMs. */
const RESTART_INTERVAL_MS = 1500;

const STORE_SILENCE_MS = 2500;

const RUN_MS = 15;
const CRASHING_BODY = 'crash';
const COUNTED_SEND = 'counted';

function drawBetween(random: Random, [least, most]: readonly [number, number]): number {
  return least + randomInteger(random, most - least + 1);
}

/** One scenario of crashes, restarts and resends. */
export interface CrashScenario {
  readonly seed: number;
  readonly vms: number;
  readonly endpoints: number;
  /** How the endpoint ends: its connections are reset, or nothing answers any more. */
  readonly end: 'reset' | 'silent';
  /** Shortest and longest time until the endpoint is back, in milliseconds. */
  readonly downMs: readonly [number, number];
  /** Whether an endpoint restarts under its id or registers under another. */
  readonly identity: 'kept' | 'new';
  readonly crashingRequests: number;
  /** Time between two sends of one request, in milliseconds. */
  readonly resendMs: readonly [number, number];
  readonly repetition: 'idempotent' | 'non-idempotent';
  /** How VMs are restarted. */
  readonly restart: 'none' | 'in-turn' | 'together';
  /** Time of the first restart, in milliseconds. */
  readonly restartAtMs: number;
  /** Other requests in flight at each crash. */
  readonly bystanders: number;
  /** Time at which the store stops to tell of changes for `STORE_SILENCE_MS`; null for never. */
  readonly storeSilentAtMs: number | null;
  readonly lengthMs: number;
}

/** What the endpoints saw of one request that crashes them. */
export interface CrashRecord {
  readonly arrivals: number[];
  readonly crashes: number[];
}

/** What a scenario showed. */
export interface CrashOutcome {
  readonly records: ReadonlyMap<string, CrashRecord>;
  /** Most sends of one request later than `SETTLE_MS` after its third crash. */
  readonly lateSends: number;
  /** Requests that crashed three endpoints or more. */
  readonly settled: number;
  /** Other requests that were refused as if they had crashed endpoints. */
  readonly refusedBystanders: number;
  /** Other requests that got their answer. */
  readonly servedBystanders: number;
}

/** A store whose entries the test writes. */
class TestStore {
  #revision = 10;

  #changes: { id: string; endpoint: RegisteredEndpoint | null; revision: number }[] = [];

  readonly #endpoints = new Map<string, RegisteredEndpoint>();

  readonly #waiting = new Set<() => void>();

  #isSilent = false;

  readonly #configuration: Configuration;

  constructor(configuration: Configuration) {
    this.#configuration = configuration;
  }

  put(endpoint: RegisteredEndpoint): void {
    this.#endpoints.set(endpoint.id, endpoint);
    this.#change(endpoint.id, endpoint);
  }

  remove(id: string): void {
    if (this.#endpoints.delete(id)) this.#change(id, null);
  }

  /** Holds back changes for `STORE_SILENCE_MS`. */
  async fallSilent(): Promise<void> {
    this.#isSilent = true;
    await sleep(STORE_SILENCE_MS);
    this.#isSilent = false;
    this.#wakeWatches();
  }

  createSource(): PublicationSource {
    return {
      read: (part) => Promise.resolve(this.#readAll(part)),
      watch: (part, after, signal) => this.#watch(part, after, signal),
      decodeConfiguration: () => this.#configuration,
      decodeEndpoint: (_id, text) => JSON.parse(text) as RegisteredEndpoint,
    };
  }

  #readAll(part: PublicationPart): PublicationBatch {
    const entries =
      part === 'configuration'
        ? [{ id: '', text: 'published' }]
        : [...this.#endpoints].map(([id, entry]) => ({ id, text: JSON.stringify(entry) }));
    return { entries, revision: this.#revision };
  }

  async #watch(
    part: PublicationPart,
    after: number,
    signal: AbortSignal,
  ): Promise<PublicationBatch> {
    const list = () =>
      part === 'configuration' || this.#isSilent
        ? []
        : this.#changes.filter(({ revision }) => revision > after);
    while (list().length === 0) {
      await this.#waitForChange(signal);
    }
    const entries = list().map(({ id, endpoint }) => ({
      id,
      text: endpoint === null ? null : JSON.stringify(endpoint),
    }));
    return { entries, revision: this.#revision };
  }

  #waitForChange(signal: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      const fail = () => reject(new Error('aborted'));
      signal.addEventListener('abort', fail);
      this.#waiting.add(() => {
        signal.removeEventListener('abort', fail);
        resolve();
      });
    });
  }

  #change(id: string, endpoint: RegisteredEndpoint | null): void {
    this.#revision += 1;
    this.#changes.push({ id, endpoint, revision: this.#revision });
    this.#wakeWatches();
  }

  #wakeWatches(): void {
    const waiting = [...this.#waiting];
    this.#waiting.clear();
    waiting.forEach((wake) => wake());
  }
}

/** An endpoint that ends under a crashing request, with all that runs there, and is back later. */
class CrashingEndpoint {
  readonly #scenario: CrashScenario;

  readonly #store: TestStore;

  readonly #random: Random;

  readonly #records: Map<string, CrashRecord>;

  readonly #sockets = new Set<Socket>();

  readonly #name: string;

  #lifetime = 0;

  #port = 0;

  #server: Server | null = null;

  /** True from the end of a silent endpoint to its restart: it accepts and answers nothing. */
  #isMute = false;

  #isStopped = false;

  constructor(
    name: string,
    scenario: CrashScenario,
    store: TestStore,
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
    server.listen(this.#port, '127.0.0.1');
    await once(server, 'listening');
    this.#server = server;
    this.#port = (server.address() as AddressInfo).port;
    this.#register();
  }

  /** Begins a lifetime: the store and the answers tell of it from now on. */
  #register(): void {
    this.#lifetime += 1;
    this.#store.put({
      id: this.#id,
      serviceId: 'desk',
      address: `127.0.0.1:${this.#port}`,
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
    await sleep(RUN_MS);
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

function createConfiguration({ repetition }: CrashScenario): Configuration {
  const attempts = repetition === 'idempotent' ? 2 : 1;
  return {
    version: 4,
    routes: [createRoute({ repetition, attempts, timeoutMs: 1500, targetMs: 100 })],
    services: new Map([
      ['desk', { id: 'desk', healthPath: '/health', maxConnections: 400, engine: null }],
    ]),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1000,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    accounts: new Map([['right-key', { id: 'station', priority: 0 }]]),
  };
}

/** A VM that can be restarted; a restarted one knows nothing. */
class RestartableVm {
  readonly #id: string;

  readonly #listen: { callers: string; ready: string; control: string };

  readonly #seeds: readonly string[];

  readonly #store: TestStore;

  #gateway: Gateway | null = null;

  constructor(
    id: string,
    listen: { callers: string; ready: string; control: string },
    seeds: readonly string[],
    store: TestStore,
  ) {
    this.#id = id;
    this.#listen = listen;
    this.#seeds = seeds;
    this.#store = store;
  }

  /** Time of the latest start. */
  startedAt = 0;

  get callers(): string {
    return this.#listen.callers;
  }

  async start(): Promise<void> {
    const settings = {
      vm: { id: this.#id, zone: 'zone-a' },
      listen: this.#listen,
      seeds: [...this.#seeds],
      platform: { address: '127.0.0.1:1' },
      graceSeconds: 3.5,
      repeats: { ratio: 0.2, slack: 500, windowSeconds: 10 },
      logLevel: 'error' as const,
    };
    this.startedAt = performance.now();
    this.#gateway = await createGateway(settings, this.#store.createSource(), testDialect);
    await waitUntil(async () => (await call(this.#listen.ready, '/')).status === 200);
  }

  async restart(): Promise<void> {
    this.stop();
    await sleep(100);
    await this.start();
  }

  stop(): void {
    this.#gateway?.stop();
    this.#gateway = null;
  }
}

async function createVms({ vms }: CrashScenario, store: TestStore): Promise<RestartableVm[]> {
  const listens = await Promise.all(
    Array.from({ length: vms }, async () => {
      const [callers, ready, control] = await Promise.all([
        findFreeAddress(),
        findFreeAddress(),
        findFreeAddress(),
      ]);
      return { callers, ready, control };
    }),
  );
  const seeds = listens.slice(0, 3).map(({ control }) => control);
  return listens.map((listen, index) => new RestartableVm(`vm-${index}`, listen, seeds, store));
}

/** Sends a request to a VM; returns the status of the answer, or null without one. */
async function sendTo(
  vm: RestartableVm,
  body: string,
  headers: Record<string, string>,
): Promise<number | null> {
  const options = { method: 'POST', headers, body };
  const answer = await call(vm.callers, '/plain/1', options).catch(() => null);
  return answer?.status ?? null;
}

/** Plays a scenario with gateways, endpoints and callers on loopback. */
class CrashFleet {
  readonly #scenario: CrashScenario;

  readonly #random: Random;

  readonly #records = new Map<string, CrashRecord>();

  readonly #store: TestStore;

  readonly #endpoints: readonly CrashingEndpoint[];

  #vms: RestartableVm[] = [];

  #isOver = false;

  #refusedBystanders = 0;

  #servedBystanders = 0;

  constructor(scenario: CrashScenario) {
    this.#scenario = scenario;
    this.#random = createRandom(scenario.seed);
    this.#store = new TestStore(createConfiguration(scenario));
    this.#endpoints = Array.from(
      { length: scenario.endpoints },
      (_, index) =>
        new CrashingEndpoint(`e${index}`, scenario, this.#store, this.#random, this.#records),
    );
  }

  async play(): Promise<CrashOutcome> {
    const { crashingRequests, bystanders, lengthMs } = this.#scenario;
    await Promise.all(this.#endpoints.map((endpoint) => endpoint.start()));
    this.#vms = await createVms(this.#scenario, this.#store);
    await Promise.all(this.#vms.map((vm) => vm.start()));
    try {
      const callers = [
        ...Array.from({ length: crashingRequests }, (_, index) => this.#resend(`r${index}`)),
        ...Array.from({ length: bystanders }, (_, index) => this.#sendOthers(index)),
        this.#restartVms(),
        this.#silenceStore(),
      ];
      await sleep(lengthMs);
      this.#isOver = true;
      await Promise.all(callers);
    } finally {
      this.#vms.forEach((vm) => vm.stop());
      this.#endpoints.forEach((endpoint) => endpoint.stop());
    }
    return this.#createOutcome();
  }

  #chooseVm(): RestartableVm {
    return this.#vms[randomInteger(this.#random, this.#vms.length)]!;
  }

  /** Sends one crashing request again and again, each time to any VM. */
  async #resend(name: string): Promise<void> {
    const { resendMs } = this.#scenario;
    this.#records.set(name, { arrivals: [], crashes: [] });
    for (let sends = 0; !this.#isOver; sends += 1) {
      const vm = this.#chooseVm();
      const kind = this.#isCounted(vm) ? COUNTED_SEND : 'uncounted';
      const headers = { 'x-request': `${kind}/${name}/${sends}`, 'x-remaining': '700' };
      void sendTo(vm, `${CRASHING_BODY} ${name}`, headers);
      await sleep(drawBetween(this.#random, resendMs));
    }
  }

  /** When all VMs start anew at once, none can know; sends of the first seconds do not count then. */
  #isCounted(vm: RestartableVm): boolean {
    return this.#scenario.restart !== 'together' || performance.now() - vm.startedAt > SETTLE_MS;
  }

  async #sendOthers(caller: number): Promise<void> {
    for (let sends = 0; !this.#isOver; sends += 1) {
      const name = `other/${caller}/${sends}`;
      const status = await sendTo(this.#chooseVm(), name, {
        'x-request': name,
        'x-remaining': '700',
      });
      if (status === 500) this.#refusedBystanders += 1;
      if (status === 200) this.#servedBystanders += 1;
      await sleep(drawBetween(this.#random, [1, 20]));
    }
  }

  async #silenceStore(): Promise<void> {
    const { storeSilentAtMs } = this.#scenario;
    if (storeSilentAtMs === null) return;
    await sleep(storeSilentAtMs);
    await this.#store.fallSilent();
  }

  async #restartVms(): Promise<void> {
    const { restart, restartAtMs } = this.#scenario;
    if (restart === 'none') return;
    await sleep(restartAtMs);
    if (restart === 'together') {
      await Promise.all(this.#vms.map((vm) => vm.restart()));
      return;
    }
    for (const vm of this.#vms) {
      if (this.#isOver) return;
      await vm.restart();
      await sleep(RESTART_INTERVAL_MS);
    }
  }

  #listSettled(): CrashRecord[] {
    return [...this.#records.values()].filter(({ crashes }) => crashes.length >= CRASHES_TO_STOP);
  }

  #createOutcome(): CrashOutcome {
    const settled = this.#listSettled();
    const lateSends = settled.map(
      ({ arrivals, crashes }) =>
        arrivals.filter((at) => at > crashes[CRASHES_TO_STOP - 1]! + SETTLE_MS).length,
    );
    return {
      records: this.#records,
      lateSends: Math.max(0, ...lateSends),
      settled: settled.length,
      refusedBystanders: this.#refusedBystanders,
      servedBystanders: this.#servedBystanders,
    };
  }
}

function choose<T>(random: Random, choices: readonly T[]): T {
  return choices[randomInteger(random, choices.length)]!;
}

/** Draws a mix of all that scenarios vary; the same seed gives the same mix. */
export function drawCrashScenario(seed: number): CrashScenario {
  const random = createRandom(seed);
  const end = choose(random, ['reset', 'silent'] as const);
  const downMs = [
    [0, 0],
    [20, 80],
    [300, 600],
    [1500, 2500],
  ] as const;
  const resendMs = [
    [100, 200],
    [300, 600],
    [800, 1500],
  ] as const;
  return {
    seed,
    vms: drawBetween(random, [2, 4]),
    endpoints: drawBetween(random, [1, 5]),
    end,
    // A silent endpoint is silent for long enough that a caller notices.
    downMs: choose(random, end === 'silent' ? downMs.slice(2) : downMs),
    identity: choose(random, ['kept', 'new'] as const),
    crashingRequests: drawBetween(random, [1, 4]),
    resendMs: choose(random, resendMs),
    repetition: choose(random, ['idempotent', 'non-idempotent'] as const),
    restart: choose(random, ['none', 'in-turn', 'together'] as const),
    restartAtMs: drawBetween(random, [4000, 7000]),
    bystanders: drawBetween(random, [2, 6]),
    storeSilentAtMs: choose(random, [null, drawBetween(random, [0, 6000])]),
    lengthMs: 15_000,
  };
}

/** Plays a scenario and returns what its endpoints and callers saw. */
export async function playCrashScenario(scenario: CrashScenario): Promise<CrashOutcome> {
  return new CrashFleet(scenario).play();
}
