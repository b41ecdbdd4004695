import { setTimeout as sleep } from 'node:timers/promises';

import { createRandom, randomInteger, type Configuration, type Random } from '@filbertlatch/core';

import { ChangingStore } from './changingStore.js';
import { COUNTED_SEND, type CrashRecord } from './crashingEndpoint.js';
import { drawBetween } from './crashScenario.js';
import { call, createRoute } from './fixtures.js';
import { PeerNetwork } from './peerNetwork.js';
import { measureLongestRefusal, type SoundSend } from './refusalRuns.js';
import { createVms, type RestartableVm } from './restartableVm.js';
import { CRASHING_SEGMENT, SegmentEndpoint } from './segmentEndpoint.js';
import type { SegmentScenario } from './segmentScenario.js';

/** Time after which the VMs must know of what has happened. */
const SETTLE_MS = 3000;

/** Crashes after which the VMs must stop requests with a segment. */
const CRASHES_TO_STOP = 5;

/** Time before the first request with a crashing segment. */
const CALM_MS = 2500;

/** Distinct segments of sound prompts, for each place. */
const SHARED_SEGMENTS = 12;

const RESTART_INTERVAL_MS = 1500;

/** Requests sent and answered in full at the first attempt. */
export interface Share {
  sent: number;
  served: number;
}

/** What a scenario showed. */
export interface SegmentOutcome {
  readonly records: ReadonlyMap<string, CrashRecord>;
  /** Most requests of one segment that came later than `SETTLE_MS` after its fifth crash. */
  readonly lateSends: number;
  /** Crashes under all segments. */
  readonly crashes: number;
  /** Segments with five crashes or more. */
  readonly settled: number;
  /** Sound requests before the first crash. */
  readonly calm: Share;
  /** Sound requests from twice `SETTLE_MS` after the last segment's fifth crash, or its last one. */
  readonly late: Share;
  /** Sound requests that were refused for their segments. */
  readonly refused: number;
  /** Longest time in which most requests with one of the first segments were refused for it. */
  readonly longestRefusalMs: number;
}

function createConfiguration({ isResumable, timeoutMs }: SegmentScenario): Configuration {
  const latency = { timeoutMs, targetMs: 1000, gapTargetMs: 400 };
  const repetition = {
    repetition: 'streaming',
    isResumable,
    attempts: isResumable ? 2 : 1,
  } as const;
  const engine = { slots: 64, kvTokens: 1_000_000, tokensPerEvent: 5 };
  return {
    version: 4,
    routes: [createRoute({ ...repetition, ...latency })],
    services: new Map([
      ['desk', { id: 'desk', healthPath: '/health', maxConnections: 800, engine }],
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

/** Sends a request to a VM and reads the answer to its end. */
async function sendPrompt(
  vm: RestartableVm,
  name: string,
  prompt: readonly string[],
): Promise<SoundSend['outcome']> {
  const headers = {
    'x-request': name,
    'x-segments': prompt.join(','),
  };
  const options = { method: 'POST', headers, body: name };
  const answer = await call(vm.callers, '/plain/1', options).catch(() => null);
  if (answer?.status === 200 && answer.isComplete) return 'served';
  const isRefused = answer?.status === 503 && answer.body.includes('suspect_prompt');
  return isRefused ? 'refused' : 'failed';
}

/** A VM that has just started or rejoined its peers is not expected to know. */
function isInTouch(vm: RestartableVm): boolean {
  const disturbedAt = Math.max(vm.disturbedAt, vm.startedAt);
  return vm.isRunning && !vm.isCutOff && performance.now() - disturbedAt > SETTLE_MS;
}

/** Plays a scenario with gateways, engines and callers on loopback. */
class SegmentFleet {
  readonly #scenario: SegmentScenario;

  readonly #random: Random;

  readonly #records = new Map<string, CrashRecord>();

  readonly #sound: SoundSend[] = [];

  readonly #store: ChangingStore;

  readonly #endpoints: readonly SegmentEndpoint[];

  readonly #network: PeerNetwork;

  #vms: RestartableVm[] = [];

  #sends = 0;

  #isOver = false;

  constructor(scenario: SegmentScenario) {
    this.#scenario = scenario;
    this.#random = createRandom(scenario.seed);
    this.#store = new ChangingStore(createConfiguration(scenario));
    this.#network = new PeerNetwork(createRandom(scenario.seed), scenario.peerLoss);
    this.#endpoints = Array.from(
      { length: scenario.endpoints },
      (_, index) =>
        new SegmentEndpoint(`e${index}`, scenario, this.#store, this.#random, this.#records),
    );
  }

  async play(): Promise<SegmentOutcome> {
    const { crashingSegments, lengthMs, vms } = this.#scenario;
    await Promise.all(this.#endpoints.map((endpoint) => endpoint.start()));
    this.#vms = await createVms(vms, this.#store);
    this.#network.start(this.#vms.map(({ control }) => control));
    await Promise.all(this.#vms.map((vm) => vm.start()));
    const beganAt = performance.now();
    this.#vms.forEach((vm) => {
      vm.startedAt = Number.NEGATIVE_INFINITY;
    });
    try {
      const tasks = [
        ...Array.from({ length: crashingSegments }, (_, index) => this.#sendCrashing(index)),
        this.#sendSound(),
        this.#restartVms(),
        this.#cutOffVms(),
        this.#killEndpoints(),
        this.#silenceStore(),
      ];
      await sleep(lengthMs);
      this.#isOver = true;
      await Promise.all(tasks);
    } finally {
      this.#network.stop();
      this.#vms.forEach((vm) => vm.stop());
      this.#endpoints.forEach((endpoint) => endpoint.stop());
    }
    return this.#createOutcome(beganAt);
  }

  /** A prompt whose middle segments are shared or new, and whose last one is the caller's own. */
  #createPrompt(): string[] {
    const { segments, middle } = this.#scenario;
    this.#sends += 1;
    return Array.from({ length: segments }, (_, place) => {
      if (place === segments - 1) return `own-${this.#sends}`;
      if (place === 0) return 'first';
      if (middle === 'new') return `new-${this.#sends}-${place}`;
      return `shared-${place}-${randomInteger(this.#random, SHARED_SEGMENTS)}`;
    });
  }

  #createCrashingPrompt(segmentId: string): string[] {
    const { segments, place, companions } = this.#scenario;
    const prompt = this.#createPrompt();
    const places = {
      first: 0,
      middle: Math.floor((segments - 1) / 2),
      'next-to-last': segments - 2,
    };
    const index = places[place];
    prompt[index] = segmentId;
    const companion = index === 0 ? 1 : index - 1;
    const hasCompanion = companion > 0 && companion < segments - 1;
    if (hasCompanion && this.#random.next() < companions) prompt[companion] = 'companion';
    return prompt;
  }

  async #sendCrashing(index: number): Promise<void> {
    const segmentId = `${CRASHING_SEGMENT}-${index}`;
    this.#records.set(segmentId, { arrivals: [], crashes: [] });
    await sleep(CALM_MS + randomInteger(this.#random, 300));
    while (!this.#isOver) {
      for (let sent = 0; sent < this.#scenario.crashingAtOnce; sent += 1) {
        void this.#sendOneCrashing(segmentId);
      }
      await sleep(drawBetween(this.#random, this.#scenario.crashingEveryMs));
    }
  }

  async #sendOneCrashing(segmentId: string): Promise<void> {
    const prompt = this.#createCrashingPrompt(segmentId);
    for (let sent = 0; sent < (this.#scenario.resends ? 2 : 1); sent += 1) {
      const vm = this.#vms[randomInteger(this.#random, this.#scenario.crashingVms)]!;
      const kind = isInTouch(vm) ? COUNTED_SEND : 'uncounted';
      await sendPrompt(vm, `${kind}/${segmentId}/${this.#sends}-${sent}`, prompt);
      if (this.#isOver) return;
    }
  }

  async #sendSound(): Promise<void> {
    const { soundPerSecond, vms } = this.#scenario;
    const meanMs = 1000 / soundPerSecond;
    while (!this.#isOver) {
      void this.#sendOneSound(this.#vms[randomInteger(this.#random, vms)]!);
      await sleep(drawBetween(this.#random, [Math.floor(meanMs / 2), Math.ceil(meanMs * 1.5)]));
    }
  }

  async #sendOneSound(vm: RestartableVm): Promise<void> {
    if (!vm.isRunning) return;
    const prompt = this.#createPrompt();
    const send: SoundSend = {
      at: performance.now(),
      isCounted: isInTouch(vm),
      firstSegment: prompt[0]!,
      outcome: 'failed',
    };
    send.outcome = await sendPrompt(vm, `sound/${this.#sends}`, prompt);
    if (vm.isRunning) this.#sound.push(send);
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

  async #cutOffVms(): Promise<void> {
    const { cutOffMs, vms } = this.#scenario;
    if (cutOffMs === null) return;
    while (!this.#isOver) {
      const vm = this.#vms[randomInteger(this.#random, vms)]!;
      vm.isCutOff = true;
      this.#network.cutOff(vm.control);
      await sleep(cutOffMs);
      this.#network.rejoin(vm.control);
      vm.isCutOff = false;
      vm.disturbedAt = performance.now();
    }
  }

  async #killEndpoints(): Promise<void> {
    const { killEveryMs, downMs } = this.#scenario;
    if (killEveryMs === null) return;
    await sleep(CALM_MS);
    while (!this.#isOver) {
      const endpoint = this.#endpoints[randomInteger(this.#random, this.#endpoints.length)]!;
      if (!endpoint.isDown) void endpoint.crash(drawBetween(this.#random, downMs));
      await sleep(killEveryMs);
    }
  }

  async #silenceStore(): Promise<void> {
    const { storeSilentAtMs } = this.#scenario;
    if (storeSilentAtMs === null) return;
    await sleep(storeSilentAtMs);
    await this.#store.fallSilent();
  }

  #countSound(isWithin: (send: SoundSend) => boolean): Share {
    const sends = this.#sound.filter((send) => send.isCounted && isWithin(send));
    return {
      sent: sends.length,
      served: sends.filter(({ outcome }) => outcome === 'served').length,
    };
  }

  #createOutcome(beganAt: number): SegmentOutcome {
    const records = [...this.#records.values()];
    const settled = records.filter(({ crashes }) => crashes.length >= CRASHES_TO_STOP);
    const lateSends = settled.map(({ arrivals, crashes }) => {
      const from = crashes[CRASHES_TO_STOP - 1]! + SETTLE_MS;
      return arrivals.filter((at) => at > from).length;
    });
    const stops = records.flatMap(
      ({ crashes }) => crashes[CRASHES_TO_STOP - 1] ?? crashes.at(-1) ?? [],
    );
    const lateFrom = Math.max(...stops, beganAt + CALM_MS) + 2 * SETTLE_MS;
    return {
      records: this.#records,
      lateSends: Math.max(0, ...lateSends),
      crashes: records.reduce((sum, { crashes }) => sum + crashes.length, 0),
      settled: settled.length,
      calm: this.#countSound(({ at }) => at < beganAt + CALM_MS - 500),
      late: this.#countSound(({ at }) => at > lateFrom),
      refused: this.#sound.filter(({ outcome }) => outcome === 'refused').length,
      longestRefusalMs: Math.round(measureLongestRefusal(this.#sound)),
    };
  }
}

/** Plays a scenario and returns what its engines and callers saw. */
export async function playSegmentScenario(scenario: SegmentScenario): Promise<SegmentOutcome> {
  return new SegmentFleet(scenario).play();
}
