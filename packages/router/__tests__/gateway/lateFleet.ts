import { monitorEventLoopDelay } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';

import { createRandom, type Configuration, type RegisteredEndpoint } from '@filbertlatch/core';

import { findFreeAddress } from '../../src/testing/index.js';
import { call, createRoute, testConfiguration, waitUntil } from './fixtures.js';
import { LateCallers } from './lateCaller.js';
import { LateEndpoint } from './lateEndpoint.js';
import { measureLateness, type LateOutcome, type Span } from './lateMeasures.js';
import { LateVm, type Standstill } from './lateVm.js';

/** One scenario of a gateway whose event loop stands still under load. */
export interface LateScenario {
  readonly seed: number;
  /** Requests a second. */
  readonly rate: number;
  /** Paths of the requests, in turn. */
  readonly paths: readonly string[];
  /** Connections of the requests, in turn. */
  readonly connections: readonly ('new' | 'kept')[];
  /** Time after which a caller closes its connection, in milliseconds. */
  readonly waitMs: number;
  /** The same for one caller in ten. */
  readonly patientWaitMs: number;
  /** Time that an endpoint takes to answer, in milliseconds. */
  readonly runMs: number;
  readonly standstills: readonly Standstill[];
  /** Time before, between and after the standstills, in milliseconds. */
  readonly calmMs: number;
  readonly afterMs: number;
  /** True when requests go by way of another VM, which is the one that stands still. */
  readonly isTransit: boolean;
}

const ENDPOINTS = 3;

const KEPT_CONNECTIONS = 250;

const PATIENT_ONE_IN = 10;

const ROUTE_TERMS = { targetMs: 600, timeoutMs: 5000 };

const configuration: Configuration = {
  ...testConfiguration,
  routes: [
    createRoute(ROUTE_TERMS),
    createRoute({
      ...ROUTE_TERMS,
      id: 'safe',
      prefix: '/safe/',
      repetition: 'idempotent',
      attempts: 2,
    }),
    createRoute({ ...ROUTE_TERMS, id: 'stream', prefix: '/stream/', repetition: 'streaming' }),
    createRoute({
      ...ROUTE_TERMS,
      id: 'resumed',
      prefix: '/resumed/',
      repetition: 'streaming',
      isResumable: true,
      attempts: 2,
      gapTargetMs: 100,
    }),
  ],
};

async function moveAway(endpoint: RegisteredEndpoint): Promise<RegisteredEndpoint> {
  return { ...endpoint, address: await findFreeAddress() };
}

/** Waits until requests go by way of the other VM. */
async function waitForTransits({ callers }: LateVm): Promise<void> {
  await waitUntil(async () => {
    const headers = { 'x-request': 'first' };
    return (await call(callers, '/safe/', { method: 'POST', headers })).status === 200;
  });
  await sleep(500);
}

/** A gateway, its callers and its endpoints. */
class LateFleet {
  readonly #scenario: LateScenario;

  #endpoints: readonly LateEndpoint[] = [];

  #vm!: LateVm;

  /** Sends requests by way of the other VM; null unless they go that way. */
  #lostVm: LateVm | null = null;

  #callers!: LateCallers;

  readonly #spans: Span[] = [];

  #isOver = false;

  constructor(scenario: LateScenario) {
    this.#scenario = scenario;
  }

  async play(): Promise<LateOutcome> {
    const delay = monitorEventLoopDelay({ resolution: 5 });
    try {
      await this.#start();
      delay.enable();
      const sending = this.#sendAll();
      await this.#playStandstills();
      this.#isOver = true;
      await sending;
      // What was sent on late may still be on its way.
      await sleep(300);
    } finally {
      await this.#stop();
    }
    const arrivals = this.#endpoints.flatMap((endpoint) => endpoint.arrivals);
    return {
      ...measureLateness(this.#callers.calls, arrivals, this.#spans),
      ownDelayMs: Math.round(delay.max / 1e6),
    };
  }

  async #start(): Promise<void> {
    const { runMs, isTransit } = this.#scenario;
    this.#endpoints = await Promise.all(
      Array.from({ length: ENDPOINTS }, (_, index) => LateEndpoint.start(`e${index}`, runMs)),
    );
    const registered = this.#endpoints.map((endpoint) => endpoint.registered);
    this.#vm = await LateVm.start('vm-1', configuration, registered);
    if (isTransit) {
      const moved = await Promise.all(registered.map(moveAway));
      this.#lostVm = await LateVm.start('vm-2', configuration, moved, [this.#vm.control]);
      await waitForTransits(this.#lostVm);
    }
    this.#callers = new LateCallers((this.#lostVm ?? this.#vm).callers);
  }

  async #stop(): Promise<void> {
    this.#callers?.stop();
    await this.#lostVm?.stop();
    await this.#vm?.stop();
    this.#endpoints.forEach((endpoint) => endpoint.stop());
  }

  async #playStandstills(): Promise<void> {
    const { calmMs, afterMs, standstills } = this.#scenario;
    for (const standstill of standstills) {
      await this.#keepConnections();
      await sleep(calmMs);
      const from = performance.now();
      await this.#vm.standStill(standstill);
      this.#spans.push({ from, until: performance.now() });
    }
    await sleep(afterMs);
  }

  async #keepConnections(): Promise<void> {
    if (!this.#scenario.connections.includes('kept')) return;
    await this.#callers.keepConnections(KEPT_CONNECTIONS);
  }

  async #sendAll(): Promise<void> {
    const { seed, rate, paths, connections, waitMs, patientWaitMs } = this.#scenario;
    const random = createRandom(seed);
    const sending: Promise<void>[] = [];
    let dueAt = performance.now();
    for (let sent = 0; !this.#isOver; sent += 1) {
      dueAt += (random.next() * 2 * 1000) / rate;
      const earlyMs = dueAt - performance.now();
      if (earlyMs > 0) await sleep(earlyMs);
      const path = paths[sent % paths.length]!;
      const isKept = connections[Math.floor(random.next() * connections.length)] === 'kept';
      const isPatient = Math.floor(random.next() * PATIENT_ONE_IN) === 0;
      const callerWaitMs = isPatient ? patientWaitMs : waitMs;
      sending.push(this.#callers.send(`request-${sent}`, path, isKept, callerWaitMs));
    }
    await Promise.all(sending);
  }
}

let latestPlay: Promise<unknown> = Promise.resolve();

/**
 * Plays a scenario and returns what callers and endpoints saw. The scenarios of a process play one
 * after the other.
 */
export async function playLateScenario(scenario: LateScenario): Promise<LateOutcome> {
  const play = latestPlay.then(() => new LateFleet(scenario).play());
  latestPlay = play.catch(() => {});
  return play;
}
