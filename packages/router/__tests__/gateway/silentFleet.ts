import { setTimeout as sleep } from 'node:timers/promises';

import type { Configuration } from '@filbertlatch/core';

import { call, createRoute, createSource, testConfiguration } from './fixtures.js';
import { createVms, type RestartableVm } from './restartableVm.js';
import { SilentEndpoint } from './silentEndpoint.js';
import { readMetric } from './threadedVm.js';

const JOIN_MS = 700;

const terms = { attempts: 3, timeoutMs: 8000, targetMs: 300, gapTargetMs: 100 };

const configuration: Configuration = {
  ...testConfiguration,
  routes: [
    createRoute({ timeoutMs: 8000, targetMs: 300 }),
    createRoute({ id: 'safe', prefix: '/safe/', repetition: 'idempotent', ...terms }),
    createRoute({
      id: 'resumed',
      prefix: '/resumed/',
      repetition: 'streaming',
      isResumable: true,
      ...terms,
    }),
  ],
};

/** Routes of the callers at each VM. */
const CALLERS = ['plain', 'safe', 'resumed', 'resumed', 'safe', 'safe', 'safe'];

/** VMs under load with endpoints that a test silences. */
export class SilentFleet {
  readonly #endpoints: readonly SilentEndpoint[];

  #vms: readonly RestartableVm[] = [];

  readonly #vmCount: number;

  #isOver = false;

  /** Requests that were not served. */
  readonly failures: string[] = [];

  constructor(vms: number, endpoints: number) {
    this.#vmCount = vms;
    this.#endpoints = Array.from({ length: endpoints }, () => new SilentEndpoint());
  }

  /** Runs a play under load, and ends it. */
  async play(run: () => Promise<void>): Promise<void> {
    await Promise.all(this.#endpoints.map((endpoint, index) => endpoint.start(`e${index}`)));
    const listed = this.#endpoints.map(({ endpoint }) => endpoint.endpoint);
    this.#vms = await createVms(this.#vmCount, {
      createSource: () => createSource(configuration, listed),
    });
    try {
      await Promise.all(this.#vms.map((vm) => vm.start()));
      const calling = this.#vms.flatMap((vm) =>
        CALLERS.map((route, index) => this.#callOn(vm, route, `${vm.id}/${index}`)),
      );
      await sleep(JOIN_MS);
      await run();
      this.#isOver = true;
      this.#endpoints.forEach((endpoint) => endpoint.goOn());
      await Promise.all(calling);
    } finally {
      this.#isOver = true;
    }
  }

  /** Stops everything; its metrics are gone. */
  stop(): void {
    this.#vms.forEach((vm) => vm.stop());
    this.#endpoints.forEach(({ endpoint }) => endpoint.close());
  }

  /** Silences the first endpoints at once for a time; they go on one after the other. */
  async silence(count: number, ms: number): Promise<void> {
    const silent = this.#endpoints.slice(0, count);
    silent.forEach((endpoint) => endpoint.silence());
    await sleep(ms);
    for (const endpoint of silent) {
      endpoint.goOn();
      await sleep(2);
    }
  }

  /** Ends an endpoint for good. */
  crash(index: number): void {
    this.#endpoints[index]!.endpoint.close();
  }

  /** Adds up a metric of all VMs. */
  async sum(text: string): Promise<number> {
    const values = await Promise.all(this.#vms.map((vm) => readMetric(vm, text)));
    return values.reduce((total, value) => total + value, 0);
  }

  /** Lists the endpoints, by VM, that are not in normal use. */
  async listUnhealthy(): Promise<string[]> {
    const dumps = await Promise.all(this.#vms.map((vm) => call(vm.control, '/state')));
    return dumps.flatMap(({ body }, index) => {
      const { endpoints } = JSON.parse(body) as { endpoints: { id: string; health: string }[] };
      return endpoints
        .filter(({ health }) => health !== 'healthy')
        .map(({ id, health }) => `vm-${index} ${id} ${health}`);
    });
  }

  async #callOn(vm: RestartableVm, route: string, caller: string): Promise<void> {
    for (let sent = 0; !this.#isOver; sent += 1) {
      const id = `${caller}/${sent}`;
      const headers = { 'x-request': id, 'x-remaining': '8000', 'x-segments': `a,${id}` };
      const answer = await call(vm.callers, `/${route}/${id}`, { headers }).catch(() => null);
      if (answer?.status !== 200 || !answer.isComplete) {
        this.failures.push(`${id} ${route} ${answer?.status ?? 0} ${answer?.body ?? ''}`);
        await sleep(50);
      }
    }
  }
}
