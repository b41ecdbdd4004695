import { setTimeout as sleep } from 'node:timers/promises';

import { createRandom, randomInteger, type Configuration, type Random } from '@filbertlatch/core';

import { ChangingStore } from './changingStore.js';
import {
  COUNTED_SEND,
  CRASHING_BODY,
  CrashingEndpoint,
  type CrashRecord,
} from './crashingEndpoint.js';
import { drawBetween, type CrashScenario } from './crashScenario.js';
import { PeerNetwork } from './peerNetwork.js';
import { call, createRoute } from './fixtures.js';
import { createVms, type RestartableVm } from './restartableVm.js';

/** Time after the third crash from which the VMs must know of it. */
const SETTLE_MS = 3000;

/** Sends that a crashing request is allowed after that time. */
export const MAX_LATE_SENDS = 3;

/** Crashes after which the VMs must stop sending a request. */
const CRASHES_TO_STOP = 3;

/** Time between the restarts of two VMs. */
const RESTART_INTERVAL_MS = 1500;

/** Time between the restarts of two halves of the VMs; above `SETTLE_MS`, so that sends count. */
const HALF_RESTART_INTERVAL_MS = 4000;

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

function createConfiguration({ repetition }: CrashScenario, version = 4): Configuration {
  const attempts = repetition === 'idempotent' ? 2 : 1;
  return {
    version,
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
    accounts: new Map([
      ['right-key', { id: 'station', priority: 0 }],
      [`key-${version}`, { id: version % 2 === 0 ? 'station' : 'studio', priority: 0 }],
    ]),
  };
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

  readonly #store: ChangingStore;

  readonly #endpoints: readonly CrashingEndpoint[];

  readonly #network: PeerNetwork;

  #vms: RestartableVm[] = [];

  #isOver = false;

  #refusedBystanders = 0;

  #servedBystanders = 0;

  constructor(scenario: CrashScenario) {
    this.#scenario = scenario;
    this.#random = createRandom(scenario.seed);
    this.#store = new ChangingStore(createConfiguration(scenario));
    this.#network = new PeerNetwork(createRandom(scenario.seed), scenario.peerLoss);
    this.#endpoints = Array.from(
      { length: scenario.endpoints },
      (_, index) =>
        new CrashingEndpoint(`e${index}`, scenario, this.#store, this.#random, this.#records),
    );
  }

  async play(): Promise<CrashOutcome> {
    const { crashingRequests, bystanders, lengthMs } = this.#scenario;
    await Promise.all(this.#endpoints.map((endpoint) => endpoint.start()));
    this.#vms = await createVms(this.#scenario.vms, this.#store);
    this.#network.start(this.#vms.map(({ control }) => control));
    await Promise.all(this.#vms.map((vm) => vm.start()));
    try {
      const callers = [
        ...Array.from({ length: crashingRequests }, (_, index) => this.#resend(`r${index}`)),
        ...Array.from({ length: bystanders }, (_, index) => this.#sendOthers(index)),
        this.#restartVms(),
        this.#silenceStore(),
        this.#changeAccounts(),
        this.#cutOffVms(),
      ];
      await sleep(lengthMs);
      this.#isOver = true;
      await Promise.all(callers);
    } finally {
      this.#network.stop();
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
    await sleep(randomInteger(this.#random, resendMs[1]));
    for (let sends = 0; !this.#isOver; sends += 1) {
      const vm = this.#chooseVm();
      const kind = this.#isCounted(vm) ? COUNTED_SEND : 'uncounted';
      const headers = { 'x-request': `${kind}/${name}/${sends}`, 'x-remaining': '700' };
      void sendTo(vm, `${CRASHING_BODY} ${name}`, headers);
      await sleep(drawBetween(this.#random, resendMs));
    }
  }

  /**
   * When many VMs start anew at once, or one is cut off from its peers, they can't know; sends until
   * some seconds later do not count then.
   */
  #isCounted(vm: RestartableVm): boolean {
    if (vm.isCutOff || performance.now() - vm.disturbedAt <= SETTLE_MS) return false;
    const { restart } = this.#scenario;
    const excusesStart = restart === 'together' || restart === 'half';
    return !excusesStart || performance.now() - vm.startedAt > SETTLE_MS;
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
    if (restart === 'half') {
      await this.#restartHalves();
      return;
    }
    for (const vm of this.#vms) {
      if (this.#isOver) return;
      await vm.restart();
      await sleep(RESTART_INTERVAL_MS);
    }
  }

  async #restartHalves(): Promise<void> {
    for (let round = 0; !this.#isOver; round += 1) {
      const half = this.#vms.filter((_, index) => index % 2 === round % 2);
      await Promise.all(half.map((vm) => vm.restart()));
      await sleep(HALF_RESTART_INTERVAL_MS);
    }
  }

  async #changeAccounts(): Promise<void> {
    const { accountChangeMs } = this.#scenario;
    if (accountChangeMs === null) return;
    for (let version = 5; !this.#isOver; version += 1) {
      await sleep(accountChangeMs);
      this.#store.publish(createConfiguration(this.#scenario, version));
    }
  }

  async #cutOffVms(): Promise<void> {
    const { cutOffMs } = this.#scenario;
    if (cutOffMs === null) return;
    while (!this.#isOver) {
      const vm = this.#chooseVm();
      vm.isCutOff = true;
      this.#network.cutOff(vm.control);
      await sleep(cutOffMs);
      this.#network.rejoin(vm.control);
      vm.isCutOff = false;
      vm.disturbedAt = performance.now();
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

/** Plays a scenario and returns what its endpoints and callers saw. */
export async function playCrashScenario(scenario: CrashScenario): Promise<CrashOutcome> {
  return new CrashFleet(scenario).play();
}
