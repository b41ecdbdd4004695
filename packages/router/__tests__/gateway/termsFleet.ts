import { setTimeout as sleep } from 'node:timers/promises';

import { createRandom, randomInteger, type Configuration } from '@filbertlatch/core';

import { ChangingStore } from './changingStore.js';
import { call, createRoute, testConfiguration, type CallerAnswer } from './fixtures.js';
import { createVms, type RestartableVm } from './restartableVm.js';
import { TermsEndpoint } from './termsEndpoint.js';

const VMS = 4;

const configuration: Configuration = {
  ...testConfiguration,
  routes: [createRoute({ prefix: '/safe/', repetition: 'idempotent', attempts: 2 })],
};

/** Answers that callers got, in order. */
export interface ReceivedAnswer extends CallerAnswer {
  readonly at: number;
  readonly tookMs: number;
}

/** Gateways, callers that send all the time, and endpoints that say what they want. */
export class TermsFleet {
  readonly answers: ReceivedAnswer[] = [];

  readonly endpoints: readonly TermsEndpoint[];

  readonly store = new ChangingStore(configuration, 1);

  readonly #random = createRandom(1);

  #vms: readonly RestartableVm[] = [];

  #isOver = false;

  #sending: Promise<unknown> = Promise.resolve();

  constructor(endpoints: number) {
    const life = { end: 'close', identity: 'new' } as const;
    this.endpoints = Array.from(
      { length: endpoints },
      (_, index) => new TermsEndpoint(`e${index}`, life, this.store),
    );
  }

  /** Starts everything; callers send a request each `everyMs` to any VM. */
  async start(everyMs: number): Promise<void> {
    await Promise.all(this.endpoints.map((endpoint) => endpoint.start()));
    this.#vms = await createVms(VMS, this.store);
    await Promise.all(this.#vms.map((vm) => vm.start()));
    this.#sending = this.#sendAll(everyMs);
  }

  /** Stops everything. */
  async stop(): Promise<void> {
    this.#isOver = true;
    await this.#sending;
    this.#vms.forEach((vm) => vm.stop());
    this.endpoints.forEach((endpoint) => endpoint.stop());
  }

  /** Reads a metric of all VMs, summed. */
  async sumMetric(name: string): Promise<number> {
    const texts = await Promise.all(this.#vms.map((vm) => call(vm.control, '/metrics')));
    return texts.reduce((sum, { body }) => {
      const lines = body.split('\n').filter((line) => line.startsWith(name));
      return sum + lines.reduce((total, line) => total + Number(line.split(' ').at(-1)), 0);
    }, 0);
  }

  async #sendAll(everyMs: number): Promise<void> {
    const calls: Promise<void>[] = [];
    for (let sent = 0; !this.#isOver; sent += 1) {
      calls.push(this.#send(`request-${sent}`));
      await sleep(everyMs);
    }
    await Promise.all(calls);
  }

  async #send(id: string): Promise<void> {
    const vm = this.#vms[randomInteger(this.#random, this.#vms.length)]!;
    const sentAt = performance.now();
    const headers = { 'x-request': id, 'x-remaining': '3000' };
    const answer = await call(vm.callers, '/safe/', { headers }).catch(() => null);
    const at = performance.now();
    if (answer !== null) this.answers.push({ ...answer, at, tookMs: at - sentAt });
  }
}
