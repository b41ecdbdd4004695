import { setTimeout as sleep } from 'node:timers/promises';

import { createRandom, randomInteger, type Random } from '@filbertlatch/core';

import { ChangingStore } from './changingStore.js';
import { drawBetween } from './crashScenario.js';
import { call, testConfiguration } from './fixtures.js';
import type { EndpointLifetime } from './restartingEndpoint.js';
import { createVms, type RestartableVm } from './restartableVm.js';
import { formatWholeAnswer, UnframedEndpoint, type AnswerRecords } from './unframedEndpoint.js';

/** One scenario of answers without length and chunks beside endpoints that end. */
export interface UnframedScenario extends Pick<EndpointLifetime, 'end' | 'identity'> {
  readonly seed: number;
  readonly endpoints: number;
  readonly requests: number;
  /** Shortest and longest time between two requests, in milliseconds. */
  readonly everyMs: readonly [number, number];
  /** Whether endpoints crash, leave as planned directly after their last answer, or stay. */
  readonly ending: 'crash' | 'leave' | 'none';
  /** Time between the ends of two endpoints, in milliseconds. */
  readonly endEveryMs: number;
  /** Shortest and longest time until the endpoint is back, in milliseconds. */
  readonly downMs: readonly [number, number];
}

/** What a scenario showed. */
export interface UnframedOutcome {
  /** Whole answers. */
  readonly whole: number;
  /** Answers that reached their callers as complete and were not whole. */
  readonly falseEnds: number;
  /** Answers that endpoints ended as whole and whose callers were told otherwise. */
  readonly cut: number;
  /** Requests that ran twice and must not. */
  readonly repeated: number;
  /** Times from the end of a whole answer to its end at the caller, in milliseconds, ascending. */
  readonly endDelaysMs: readonly number[];
  readonly ends: number;
}

const VMS = 4;

const PATHS = ['/plain/', '/safe/', '/stream/', '/resumed/'];

const REPEATABLE_PATHS = ['/safe/', '/resumed/'];

/** Plays a scenario with gateways, endpoints and callers on loopback. */
class UnframedFleet {
  readonly #scenario: UnframedScenario;

  readonly #random: Random;

  readonly #records: AnswerRecords = { endedAt: new Map(), runs: new Map() };

  readonly #store = new ChangingStore(testConfiguration);

  readonly #endpoints: readonly UnframedEndpoint[];

  readonly #endDelaysMs: number[] = [];

  #vms: RestartableVm[] = [];

  #whole = 0;

  #falseEnds = 0;

  #cut = 0;

  #ends = 0;

  #isOver = false;

  constructor(scenario: UnframedScenario) {
    this.#scenario = scenario;
    this.#random = createRandom(scenario.seed);
    this.#endpoints = Array.from(
      { length: scenario.endpoints },
      (_, index) => new UnframedEndpoint(this.#records, `e${index}`, scenario, this.#store),
    );
  }

  async play(): Promise<UnframedOutcome> {
    const { requests, everyMs } = this.#scenario;
    await Promise.all(this.#endpoints.map((endpoint) => endpoint.start()));
    this.#vms = await createVms(VMS, this.#store);
    await Promise.all(this.#vms.map((vm) => vm.start()));
    const ending = this.#endEndpoints();
    const calls: Promise<void>[] = [];
    try {
      for (let sent = 0; sent < requests; sent += 1) {
        calls.push(this.#send(PATHS[sent % PATHS.length]!, `request-${sent}`));
        await sleep(drawBetween(this.#random, everyMs));
      }
      await Promise.all(calls);
      this.#isOver = true;
      await ending;
    } finally {
      this.#vms.forEach((vm) => vm.stop());
      this.#endpoints.forEach((endpoint) => endpoint.stop());
    }
    return this.#createOutcome();
  }

  async #send(path: string, id: string): Promise<void> {
    const vm = this.#vms[randomInteger(this.#random, this.#vms.length)]!;
    const options = { method: 'POST', headers: { 'x-request': id } };
    const answer = await call(vm.callers, path, options).catch(() => null);
    const closedAt = performance.now();
    const isComplete = answer?.status === 200 && answer.isComplete;
    const isWhole = answer?.body === formatWholeAnswer(path);
    const endedAt = this.#records.endedAt.get(id);
    if (isComplete && !isWhole) this.#falseEnds += 1;
    if (!isComplete && endedAt !== undefined) this.#cut += 1;
    if (!isComplete || !isWhole || endedAt === undefined) return;
    this.#whole += 1;
    this.#endDelaysMs.push(closedAt - endedAt);
  }

  async #endEndpoints(): Promise<void> {
    const { ending, endEveryMs, downMs } = this.#scenario;
    if (ending === 'none') return;
    while (!this.#isOver) {
      await sleep(endEveryMs);
      const endpoint = this.#endpoints[randomInteger(this.#random, this.#endpoints.length)]!;
      if (endpoint.isDown || this.#isOver) continue;
      this.#ends += 1;
      const backAfterMs = drawBetween(this.#random, downMs);
      if (ending === 'crash') void endpoint.crash(backAfterMs);
      else await endpoint.leave(backAfterMs);
    }
  }

  #createOutcome(): UnframedOutcome {
    const repeated = [...this.#records.runs].filter(([id, runs]) => {
      const path = PATHS[Number(id.split('-')[1]) % PATHS.length]!;
      return runs > 1 && !REPEATABLE_PATHS.includes(path);
    });
    return {
      whole: this.#whole,
      falseEnds: this.#falseEnds,
      cut: this.#cut,
      repeated: repeated.length,
      endDelaysMs: this.#endDelaysMs.sort((a, b) => a - b),
      ends: this.#ends,
    };
  }
}

/** Plays a scenario and returns what its endpoints and callers saw. */
export async function playUnframedScenario(scenario: UnframedScenario): Promise<UnframedOutcome> {
  return new UnframedFleet(scenario).play();
}
