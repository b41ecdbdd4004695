import type { ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import {
  createRandom,
  randomInteger,
  type Configuration,
  type RegisteredEndpoint,
} from '@filbertlatch/core';

import {
  call,
  createRoute,
  createSource,
  startEndpoint,
  testConfiguration,
  type TestEndpoint,
} from './fixtures.js';
import { createVms, type RestartableVm } from './restartableVm.js';
import { VmLink, type CutKind } from './vmLink.js';

/** One scenario of VMs that lose their links to all endpoints. */
export interface CutScenario {
  readonly seed: number;
  readonly vms: number;
  readonly endpoints: number;
  /** Number of VMs whose links are cut. */
  readonly cutVms: number;
  readonly kind: CutKind;
  readonly route: 'safe' | 'plain' | 'resumed';
  /** Time between two requests at each VM, in milliseconds. */
  readonly everyMs: number;
  /** Length of the cut and of the time after it, in milliseconds. */
  readonly cutMs: number;
  readonly healedMs: number;
}

/** Requests of one group of VMs in one phase, and how many of them were served. */
export interface ServedCount {
  sent: number;
  served: number;
}

/** What a scenario showed; counts leave out the time in which a cut or its end is found out. */
export interface CutOutcome {
  readonly calm: ServedCount;
  /** Requests at VMs whose links are cut, and at the others. */
  readonly cut: ServedCount;
  readonly others: ServedCount;
  /** Requests at the same VMs after the cut. */
  readonly healedCut: ServedCount;
  readonly healedOthers: ServedCount;
  /** Requests that must not run twice and did. */
  readonly twice: number;
  /** Requests that ran although their callers were told that they had not. */
  readonly untrue: number;
  /** Status codes of requests that were not served, by phase and group. */
  readonly failures: Readonly<Record<string, number>>;
}

const CALM_MS = 1500;

/** Time before the cut in which requests are sent that it may meet. */
const LONGEST_RUN_MS = 400;

/** Time within which a cut, and its end, must be found out. */
const STABLE_WINDOW_MS = 3000;

const HEAL_WINDOW_MS = 1000;

const RUN_MS = 20;
const EVENTS = 8;

const ROUTE_TIMEOUT_MS = 4000;

const configuration: Configuration = {
  ...testConfiguration,
  routes: [
    createRoute({ timeoutMs: ROUTE_TIMEOUT_MS, targetMs: 600 }),
    createRoute({
      id: 'safe',
      prefix: '/safe/',
      repetition: 'idempotent',
      attempts: 2,
      timeoutMs: ROUTE_TIMEOUT_MS,
      targetMs: 600,
    }),
    createRoute({
      id: 'resumed',
      prefix: '/resumed/',
      repetition: 'streaming',
      isResumable: true,
      attempts: 2,
      timeoutMs: ROUTE_TIMEOUT_MS,
      targetMs: 600,
      gapTargetMs: 100,
    }),
  ],
};

/** Body of a whole stream, without empty lines. */
export const WHOLE_STREAM = Array.from({ length: EVENTS }, (_, index) => `id: ${index + 1}\n`).join(
  '',
);

type Group = 'cut' | 'others';

/** Gateways with links of their own to each endpoint, and callers at each of them. */
export class CutFleet {
  readonly #scenario: CutScenario;

  readonly #runs = new Map<string, number>();

  readonly #counts = new Map<string, ServedCount>();

  readonly #failures: Record<string, number> = {};

  readonly #refused = new Set<string>();

  #endpoints: readonly TestEndpoint[] = [];

  #links: readonly (readonly VmLink[])[] = [];

  #vms: readonly RestartableVm[] = [];

  #phase = 'calm';

  #isOver = false;

  constructor(scenario: CutScenario) {
    this.#scenario = scenario;
  }

  /** The running gateways; the first ones are cut. */
  get vms(): readonly RestartableVm[] {
    return this.#vms;
  }

  /** The links of each VM. */
  get links(): readonly (readonly VmLink[])[] {
    return this.#links;
  }

  /** Starts endpoints, links and gateways. */
  async start(): Promise<void> {
    const { endpoints, vms } = this.#scenario;
    this.#endpoints = await Promise.all(
      Array.from({ length: endpoints }, (_, index) =>
        startEndpoint(`e${index}`, (request, response) => {
          request.resume();
          void this.#run(request.headers, request.url ?? '', response);
        }),
      ),
    );
    this.#links = await Promise.all(
      Array.from({ length: vms }, () =>
        Promise.all(this.#endpoints.map(({ endpoint }) => VmLink.create(endpoint.address))),
      ),
    );
    const stores = this.#links.map((links) => ({
      createSource: () => createSource(configuration, this.#seenThrough(links)),
    }));
    this.#vms = await createVms(vms, stores);
    await Promise.all(this.#vms.map((vm) => vm.start()));
  }

  /** Stops everything. */
  stop(): void {
    this.#vms.forEach((vm) => vm.stop());
    this.#links.flat().forEach((link) => link.close());
    this.#endpoints.forEach((endpoint) => endpoint.close());
  }

  /** Cuts the links of the first VMs. */
  cut(): void {
    const { cutVms, kind } = this.#scenario;
    this.#links.slice(0, cutVms).forEach((links) => links.forEach((link) => link.cut(kind)));
  }

  /** Ends the cut. */
  async heal(): Promise<void> {
    await Promise.all(this.#links.flat().map((link) => link.heal()));
  }

  /** Plays calm, cut and healed time under load. */
  async play(): Promise<CutOutcome> {
    const { cutMs, healedMs } = this.#scenario;
    await this.start();
    try {
      const sending = this.#vms.map((vm, index) => this.#sendAll(vm, index));
      await sleep(500);
      await this.#playPhase('calm', CALM_MS);
      await this.#playPhase('cutting', LONGEST_RUN_MS);
      this.cut();
      await this.#playPhase('cutting', STABLE_WINDOW_MS);
      await this.#playPhase('cut', cutMs - STABLE_WINDOW_MS);
      await this.heal();
      await this.#playPhase('healing', HEAL_WINDOW_MS);
      await this.#playPhase('healed', healedMs - HEAL_WINDOW_MS);
      this.#isOver = true;
      await Promise.all(sending);
    } finally {
      this.stop();
    }
    return this.#createOutcome();
  }

  async #playPhase(name: string, ms: number): Promise<void> {
    this.#phase = name;
    await sleep(ms);
  }

  #seenThrough(links: readonly VmLink[]): RegisteredEndpoint[] {
    return this.#endpoints.map(({ endpoint }, index) => ({
      ...endpoint,
      address: links[index]!.address,
    }));
  }

  async #run(
    headers: Readonly<Record<string, unknown>>,
    path: string,
    response: ServerResponse,
  ): Promise<void> {
    const id = String(headers['x-request']);
    this.#runs.set(id, (this.#runs.get(id) ?? 0) + 1);
    if (!path.startsWith('/resumed/')) {
      await sleep(RUN_MS);
      response.writeHead(200, { 'x-request': id, 'x-mac': 'mac' }).end('answer');
      return;
    }
    response.writeHead(200, {
      'x-request': id,
      'x-mac': 'mac',
      'content-type': 'text/event-stream',
    });
    for (let event = Number(headers['x-after'] ?? 0) + 1; event <= EVENTS; event += 1) {
      response.write(`id: ${event}\n\n`);
      await sleep(RUN_MS);
      if (response.destroyed) return;
    }
    response.end();
  }

  async #sendAll(vm: RestartableVm, index: number): Promise<void> {
    const { everyMs, seed, cutVms } = this.#scenario;
    const random = createRandom(seed + 1000 * index);
    const calls: Promise<void>[] = [];
    for (let sent = 0; !this.#isOver; sent += 1) {
      calls.push(this.#send(vm, index < cutVms ? 'cut' : 'others', `vm-${index}/${sent}`));
      await sleep(everyMs / 2 + randomInteger(random, everyMs));
    }
    await Promise.all(calls);
  }

  async #send(vm: RestartableVm, group: Group, id: string): Promise<void> {
    const phase = `${this.#phase} ${group}`;
    const headers = { 'x-request': id, 'x-remaining': '5000' };
    const path = `/${this.#scenario.route}/`;
    const answer = await call(vm.callers, path, { method: 'POST', headers }).catch(() => null);
    const count = this.#counts.get(phase) ?? { sent: 0, served: 0 };
    this.#counts.set(phase, count);
    count.sent += 1;
    if (answer?.status === 200 && answer.isComplete && this.#isWhole(answer.body)) {
      count.served += 1;
      return;
    }
    const code = /"code":"(\w+)/.exec(answer?.body ?? '')?.[1] ?? '';
    const failure = `${phase} ${answer?.status ?? 0} ${code}`.trim();
    this.#failures[failure] = (this.#failures[failure] ?? 0) + 1;
    if (answer?.status === 503) this.#refused.add(id);
  }

  #isWhole(body: string): boolean {
    const isStream = this.#scenario.route === 'resumed';
    return isStream ? body.replaceAll('\n\n', '\n') === WHOLE_STREAM : body === 'answer';
  }

  #sum(...phases: readonly string[]): ServedCount {
    const total = { sent: 0, served: 0 };
    phases.forEach((phase) => {
      total.sent += this.#counts.get(phase)?.sent ?? 0;
      total.served += this.#counts.get(phase)?.served ?? 0;
    });
    return total;
  }

  #createOutcome(): CutOutcome {
    const isOnce = this.#scenario.route === 'plain';
    return {
      calm: this.#sum('calm cut', 'calm others'),
      cut: this.#sum('cut cut'),
      others: this.#sum('cutting others', 'cut others'),
      healedCut: this.#sum('healed cut'),
      healedOthers: this.#sum('healing others', 'healed others'),
      twice: isOnce ? [...this.#runs.values()].filter((runs) => runs > 1).length : 0,
      untrue: [...this.#refused].filter((id) => this.#runs.has(id)).length,
      failures: this.#failures,
    };
  }
}
