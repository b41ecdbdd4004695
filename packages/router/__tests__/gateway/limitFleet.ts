import { setTimeout as sleep } from 'node:timers/promises';

import { createRandom, randomInteger, type Configuration, type Random } from '@filbertlatch/core';

import { ChangingStore } from './changingStore.js';
import { call, createRoute } from './fixtures.js';
import { LimitedEndpoint, UNKNOWN_VM, type Arrival } from './limitedEndpoint.js';
import { measureExcess, measureUse, type Span } from './limitMeasures.js';
import type { LimitScenario } from './limitScenario.js';
import { PeerNetwork } from './peerNetwork.js';
import { createVms, type RestartableVm } from './restartableVm.js';

/** Time after an endpoint first named a limit from which the limit is kept. */
const SETTLE_MS = 3000;

/** Time after which a VM that was told must keep the limit. */
const TOLD_MS = 500;

const DISTURBANCE_INTERVAL_MS = 4000;

const MS_PER_SECOND = 1000;

/** What a scenario showed. */
export interface LimitOutcome {
  /** Largest number of arrivals in a window beyond those allowed; negative when all are kept. */
  readonly excess: number;
  /**
   * Requests that the endpoints got while they had a limit, divided by what it allows; the least
   * over them.
   */
  readonly use: number;
  /** Requests that were refused as not run, but that an endpoint ran. */
  readonly untrueRefusals: number;
  /** Longest time until a refusal, in milliseconds. */
  readonly slowestRefusalMs: number;
  readonly refused: number;
  readonly served: number;
}

interface ExcusedSpan extends Span {
  readonly vmId: string;
}

const configuration: Configuration = {
  version: 4,
  routes: [
    createRoute({ repetition: 'idempotent', attempts: 2, timeoutMs: 2000, targetMs: 500 }),
    createRoute({
      id: 'stream',
      prefix: '/stream/',
      repetition: 'streaming',
      timeoutMs: 2000,
      targetMs: 500,
    }),
  ],
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

/** Plays a scenario with gateways, endpoints and callers on loopback. */
class LimitFleet {
  readonly #scenario: LimitScenario;

  readonly #random: Random;

  readonly #store = new ChangingStore(configuration);

  readonly #endpoints: readonly LimitedEndpoint[];

  readonly #network: PeerNetwork;

  /** Times in which a VM is excused: restarts and cuts, and some seconds after them. */
  readonly #excused: ExcusedSpan[] = [];

  readonly #refusedIds = new Set<string>();

  #vms: RestartableVm[] = [];

  #isOver = false;

  #served = 0;

  #slowestRefusalMs = 0;

  constructor(scenario: LimitScenario) {
    this.#scenario = scenario;
    this.#random = createRandom(scenario.seed);
    this.#network = new PeerNetwork(createRandom(scenario.seed), scenario.peerLoss);
    this.#endpoints = Array.from(
      { length: scenario.endpoints },
      (_, index) =>
        new LimitedEndpoint(
          `e${index}`,
          index < scenario.limited,
          scenario,
          this.#store,
          this.#random,
        ),
    );
  }

  async play(): Promise<LimitOutcome> {
    await Promise.all(this.#endpoints.map((endpoint) => endpoint.start()));
    this.#vms = await createVms(this.#scenario.vms, this.#store);
    this.#network.start(this.#vms.map(({ control }) => control));
    await Promise.all(this.#vms.map((vm) => vm.start()));
    this.#endpoints.forEach((endpoint) => endpoint.begin());
    const beganAt = performance.now();
    try {
      const tasks = [
        this.#sendAll(),
        this.#disturbVms(),
        this.#cutOffVms(),
        this.#restartEndpoints(),
      ];
      await sleep(this.#scenario.lengthMs);
      this.#isOver = true;
      await Promise.all(tasks);
    } finally {
      this.#network.stop();
      this.#vms.forEach((vm) => vm.stop());
      this.#endpoints.forEach((endpoint) => endpoint.stop());
    }
    return this.#createOutcome(beganAt, performance.now());
  }

  #chooseVm(): RestartableVm {
    if (this.#random.next() < this.#scenario.firstVmFraction) return this.#vms[0]!;
    const running = this.#vms.filter(({ isRunning }) => isRunning);
    const vms = running.length === 0 ? this.#vms : running;
    return vms[randomInteger(this.#random, vms.length)]!;
  }

  async #sendAll(): Promise<void> {
    const { requestsPerSecond, streams } = this.#scenario;
    for (let sends = 0; !this.#isOver; sends += 1) {
      const path = this.#random.next() < streams ? '/stream/1' : '/plain/1';
      void this.#send(this.#chooseVm(), `r${sends}`, path);
      await sleep(-Math.log(1 - this.#random.next()) * (MS_PER_SECOND / requestsPerSecond));
    }
  }

  async #send(vm: RestartableVm, requestId: string, path: string): Promise<void> {
    const sentAt = performance.now();
    const headers = { 'x-request': requestId, 'x-remaining': '2000' };
    const answer = await call(vm.callers, path, { headers }).catch(() => null);
    if (answer?.status === 200) this.#served += 1;
    if (answer?.status !== 503) return;
    this.#refusedIds.add(requestId);
    this.#slowestRefusalMs = Math.max(this.#slowestRefusalMs, performance.now() - sentAt);
  }

  async #disturbVms(): Promise<void> {
    const { restart } = this.#scenario;
    if (restart === 'none') return;
    for (let round = 0; !this.#isOver; round += 1) {
      await sleep(DISTURBANCE_INTERVAL_MS);
      const isChosen = {
        'in-turn': (index: number) => index === round % this.#vms.length,
        half: (index: number) => index % 2 === round % 2,
        together: () => round === 0,
        leave: (index: number) => round === 0 && index % 2 === 1,
      }[restart];
      const chosen = this.#vms.filter((_, index) => isChosen(index));
      await Promise.all(chosen.map((vm) => this.#disturb(vm, restart === 'leave')));
    }
  }

  async #disturb(vm: RestartableVm, isLast: boolean): Promise<void> {
    const from = performance.now();
    if (isLast) vm.stop();
    else await vm.restart();
    this.#excuse(vm, from);
  }

  #excuse(vm: RestartableVm, from: number): void {
    this.#excused.push({ vmId: vm.id, from, until: performance.now() + SETTLE_MS });
  }

  async #cutOffVms(): Promise<void> {
    const { cutOffMs } = this.#scenario;
    if (cutOffMs === null) return;
    while (!this.#isOver) {
      const vm = this.#chooseVm();
      const from = performance.now();
      this.#network.cutOff(vm.control);
      await sleep(cutOffMs);
      this.#network.rejoin(vm.control);
      this.#excuse(vm, from);
    }
  }

  async #restartEndpoints(): Promise<void> {
    const { endpointRestartMs } = this.#scenario;
    if (endpointRestartMs === null) return;
    for (let round = 0; !this.#isOver; round += 1) {
      await sleep(endpointRestartMs);
      await this.#endpoints[round % this.#scenario.limited]!.restart();
    }
  }

  #isExcused({ vmId, at }: Arrival): boolean {
    return this.#excused.some((span) => span.vmId === vmId && at >= span.from && at <= span.until);
  }

  /** Counts an arrival when its VM was told in time and is not excused; health checks always. */
  #isCounted(arrival: Arrival): boolean {
    if (arrival.vmId === UNKNOWN_VM) return true;
    const { at, toldAt } = arrival;
    return toldAt !== null && at - toldAt >= TOLD_MS && !this.#isExcused(arrival);
  }

  #createOutcome(beganAt: number, endedAt: number): LimitOutcome {
    const limited = this.#endpoints.slice(0, this.#scenario.limited);
    const span = { from: beganAt + this.#scenario.limits[0]!.atMs + SETTLE_MS, until: endedAt };
    const isCounted = (arrival: Arrival) => this.#isCounted(arrival);
    const hasRun = (id: string) => this.#endpoints.some(({ ranIds }) => ranIds.has(id));
    return {
      excess: Math.max(...limited.map((endpoint) => measureExcess(endpoint, isCounted, span))),
      use: Math.min(...limited.map((endpoint) => measureUse(endpoint, span))),
      untrueRefusals: [...this.#refusedIds].filter(hasRun).length,
      slowestRefusalMs: this.#slowestRefusalMs,
      refused: this.#refusedIds.size,
      served: this.#served,
    };
  }
}

/** Fleets played at once; more would keep the process too busy for their load. */
const MAX_FLEETS = 4;

const waiting: (() => void)[] = [];

let playing = 0;

/** Plays a scenario, when its turn comes, and returns what its endpoints and callers saw. */
export async function playLimitScenario(scenario: LimitScenario): Promise<LimitOutcome> {
  if (playing === MAX_FLEETS) {
    await new Promise<void>((resolve) => {
      waiting.push(resolve);
    });
  } else {
    playing += 1;
  }
  try {
    return await new LimitFleet(scenario).play();
  } finally {
    const next = waiting.shift();
    if (next === undefined) playing -= 1;
    else next();
  }
}
