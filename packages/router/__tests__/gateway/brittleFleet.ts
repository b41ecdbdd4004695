import { setTimeout as sleep } from 'node:timers/promises';

import { createRandom, randomInteger, type Configuration } from '@filbertlatch/core';

import { BrittleEndpoint, RUN_MS, SLOTS, type BrittleTerms } from './brittleEndpoint.js';
import { ChangingStore } from './changingStore.js';
import { call, createRoute, testConfiguration } from './fixtures.js';
import { createVms, type RestartableVm } from './restartableVm.js';

/** One scenario of endpoints that fall over when they turn requests away. */
export interface BrittleScenario {
  readonly seed: number;
  readonly vms: number;
  readonly endpoints: number;
  /** Requests that an endpoint may turn away in a second. */
  readonly brittleness: number;
  /** Load as a multiple of what the endpoints can do. */
  readonly load: number;
  /** Requests that an endpoint takes before and after its room shrinks. */
  readonly room: readonly [number, number];
}

/** What a scenario showed of the time in which the endpoints had little room. */
export interface BrittleOutcome {
  readonly falls: number;
  /** Requests served, of what the endpoints can do. */
  readonly served: number;
  /** Requests by status. */
  readonly statuses: Readonly<Record<string, number>>;
}

/** Time from the first header to the smaller room. */
const NOTICE_MS = 3000;
const BRITTLE_MS = 9000;
const CALM_MS = 1000;

const configuration: Configuration = {
  ...testConfiguration,
  routes: [
    createRoute({
      prefix: '/safe/',
      repetition: 'idempotent',
      attempts: 2,
      targetMs: 800,
      timeoutMs: 2000,
    }),
  ],
};

class BrittleFleet {
  readonly #scenario: BrittleScenario;

  readonly #store = new ChangingStore(configuration);

  readonly #terms: BrittleTerms;

  readonly #endpoints: readonly BrittleEndpoint[];

  readonly #statuses: Record<string, number> = {};

  #vms: RestartableVm[] = [];

  #isCounted = false;

  #isOver = false;

  constructor(scenario: BrittleScenario) {
    this.#scenario = scenario;
    this.#terms = { brittleness: null, room: scenario.room[0] };
    this.#endpoints = Array.from(
      { length: scenario.endpoints },
      (_, index) => new BrittleEndpoint(`e${index}`, this.#terms, this.#store),
    );
  }

  async play(): Promise<BrittleOutcome> {
    const { brittleness, room, vms, endpoints } = this.#scenario;
    await Promise.all(this.#endpoints.map((endpoint) => endpoint.start()));
    this.#vms = await createVms(vms, this.#store);
    await Promise.all(this.#vms.map((vm) => vm.start()));
    const sending = this.#sendAll();
    try {
      await sleep(CALM_MS);
      this.#terms.brittleness = brittleness;
      await sleep(NOTICE_MS);
      [, this.#terms.room] = room;
      const servedBefore = this.#countServed();
      this.#isCounted = true;
      await sleep(BRITTLE_MS);
      const served = this.#countServed() - servedBefore;
      this.#isOver = true;
      const capacity = (endpoints * SLOTS * BRITTLE_MS) / RUN_MS;
      const falls = this.#endpoints.reduce((sum, endpoint) => sum + endpoint.falls, 0);
      return { falls, served: served / capacity, statuses: this.#statuses };
    } finally {
      this.#isOver = true;
      await sending;
      this.#vms.forEach((vm) => vm.stop());
      this.#endpoints.forEach((endpoint) => endpoint.stop());
    }
  }

  #countServed(): number {
    return this.#endpoints.reduce((sum, { served }) => sum + served, 0);
  }

  async #sendAll(): Promise<void> {
    const { endpoints, load, seed } = this.#scenario;
    const random = createRandom(seed);
    const perMs = (load * endpoints * SLOTS) / RUN_MS;
    const calls: Promise<void>[] = [];
    const startedAt = performance.now();
    for (let sent = 0; !this.#isOver; sent += 1) {
      const waitMs = startedAt + sent / perMs - performance.now();
      if (waitMs > 0) await sleep(waitMs);
      const vm = this.#vms[randomInteger(random, this.#vms.length)]!;
      calls.push(this.#send(vm, `request-${sent}`));
    }
    await Promise.all(calls);
  }

  async #send(vm: RestartableVm, id: string): Promise<void> {
    const isCounted = this.#isCounted;
    const headers = { 'x-request': id, 'x-remaining': '2000' };
    const answer = await call(vm.callers, '/safe/', { headers, method: 'POST' }).catch(() => null);
    const status = String(answer?.status ?? 0);
    if (isCounted) this.#statuses[status] = (this.#statuses[status] ?? 0) + 1;
  }
}

/** Plays a scenario and returns what its callers saw. */
export async function playBrittleScenario(scenario: BrittleScenario): Promise<BrittleOutcome> {
  return new BrittleFleet(scenario).play();
}
