import { request as sendRequest } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { createRandom, randomInteger, type Random } from '@filbertlatch/core';

import { ChangingStore } from './changingStore.js';
import { drawBetween } from './crashScenario.js';
import { createRoute, testConfiguration } from './fixtures.js';
import { PeerNetwork } from './peerNetwork.js';
import { createVms, type RestartableVm } from './restartableVm.js';
import { EVENTS, TORN_HEADER, VersionedEndpoint } from './versionedEndpoint.js';

/** One scenario of streams that go on while endpoints of several versions serve. */
export interface VersionScenario {
  readonly seed: number;
  readonly vms: number;
  /** Endpoints of each version, by version. */
  readonly endpoints: Readonly<Record<string, number>>;
  readonly streams: number;
  /** Shortest and longest time between two new streams, in milliseconds. */
  readonly everyMs: readonly [number, number];
  /** Who breaks streams: their endpoints, or their callers, who take them up at another VM. */
  readonly broken: 'endpoint' | 'caller';
  /** Shortest and longest time until a caller takes a stream up, in milliseconds. */
  readonly awayMs: readonly [number, number];
  /** Events that callers read at each try before they leave. */
  readonly readEvents: readonly [number, number];
  /** Times that a caller takes its stream up. */
  readonly takeUps: number;
  /** What callers say of the attempt that began the stream. */
  readonly resumes: 'attempt' | 'stranger' | 'malformed' | 'none';
  /** Probability that a message between VMs is lost. */
  readonly peerLoss: number;
  /** What happens to the VM that began a stream before its caller comes back. */
  readonly origin: 'stays' | 'restarts';
  /** Time between the starts of two endpoints with the other version; null for none. */
  readonly releaseEveryMs: number | null;
}

/** What a scenario showed. */
export interface VersionOutcome {
  /** Streams that hold events of two versions. */
  readonly joined: number;
  /** Streams that were broken after their first event. */
  readonly broken: number;
  /** Of these, the ones that were read to their end. */
  readonly wentOn: number;
  /** Of these, the ones whose last try was refused as not run. */
  readonly refused: number;
}

/** Further tries of a caller that is refused or whose connection breaks. */
const RETRIES = 4;

/** How one try of a caller ended. */
export interface Reading {
  readonly status: number;
  readonly isComplete: boolean;
}

/** What a caller has of its stream. */
export interface Stream {
  readonly events: { id: number; version: string }[];
}

/** Reads a stream as a caller that leaves after so many events. */
export function read(
  address: string,
  headers: Record<string, string>,
  stream: Stream,
  maxEvents: number,
): Promise<Reading> {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const options = { host, port: Number(port), path: '/resumed/', method: 'POST', agent: false };
    const outgoing = sendRequest(
      { ...options, headers: { host: 'desk.example', 'x-key': 'right-key', ...headers } },
      (response) => {
        let text = '';
        let count = 0;
        response.setEncoding('latin1');
        response.on('data', (chunk: string) => {
          text += chunk;
          for (let end = text.indexOf('\n\n'); end >= 0; end = text.indexOf('\n\n')) {
            const [, id, version] = /id: (\d+)\ndata: (.*)/.exec(text.slice(0, end)) ?? [];
            if (id !== undefined) stream.events.push({ id: Number(id), version: version! });
            text = text.slice(end + 2);
            count += 1;
            if (count === maxEvents) {
              outgoing.destroy();
              return;
            }
          }
        });
        response.on('error', () => {});
        response.on('close', () => {
          resolve({ status: response.statusCode ?? 0, isComplete: response.complete });
        });
      },
    );
    outgoing.on('error', () => resolve({ status: 0, isComplete: false }));
    outgoing.end();
  });
}

/** Plays a scenario with gateways, endpoints and callers on loopback. */
class VersionedFleet {
  readonly #scenario: VersionScenario;

  readonly #random: Random;

  readonly #network: PeerNetwork;

  readonly #store = new ChangingStore({
    ...testConfiguration,
    routes: [
      createRoute({
        prefix: '/resumed/',
        repetition: 'streaming',
        isResumable: true,
        attempts: 2,
      }),
    ],
  });

  readonly #endpoints: readonly VersionedEndpoint[];

  #vms: RestartableVm[] = [];

  #joined = 0;

  #broken = 0;

  #wentOn = 0;

  #refused = 0;

  #isOver = false;

  #restarting: Promise<void> | null = null;

  constructor(scenario: VersionScenario) {
    this.#scenario = scenario;
    this.#random = createRandom(scenario.seed);
    this.#network = new PeerNetwork(createRandom(scenario.seed), scenario.peerLoss);
    const life = { end: 'reset', identity: 'new' } as const;
    this.#endpoints = Object.entries(scenario.endpoints).flatMap(([version, count]) =>
      Array.from(
        { length: count },
        (_, index) =>
          new VersionedEndpoint(version, this.#random, `${version}-${index}`, life, this.#store),
      ),
    );
  }

  async play(): Promise<VersionOutcome> {
    const { streams, everyMs, vms } = this.#scenario;
    await Promise.all(this.#endpoints.map((endpoint) => endpoint.start()));
    this.#vms = await createVms(vms, this.#store);
    this.#network.start(this.#vms.map(({ control }) => control));
    await Promise.all(this.#vms.map((vm) => vm.start()));
    const release = this.#release();
    try {
      const readings: Promise<void>[] = [];
      for (let index = 0; index < streams; index += 1) {
        readings.push(this.#follow(`stream-${index}`));
        await sleep(drawBetween(this.#random, everyMs));
      }
      await Promise.all(readings);
      this.#isOver = true;
      await release;
      await this.#restarting;
    } finally {
      this.#network.stop();
      this.#vms.forEach((vm) => vm.stop());
      this.#endpoints.forEach((endpoint) => endpoint.stop());
    }
    return {
      joined: this.#joined,
      broken: this.#broken,
      wentOn: this.#wentOn,
      refused: this.#refused,
    };
  }

  /** Replaces all endpoints of the first version by such of the last, one by one, and then back. */
  async #release(): Promise<void> {
    const { releaseEveryMs, endpoints } = this.#scenario;
    if (releaseEveryMs === null) return;
    const versions = Object.keys(endpoints);
    for (let step = 0; !this.#isOver; step += 1) {
      await sleep(releaseEveryMs);
      const endpoint = this.#endpoints[step % this.#endpoints.length]!;
      const round = Math.floor(step / this.#endpoints.length);
      // One after the other, so that none leaves twice.
      if (!this.#isOver) await endpoint.replace(versions[(round + 1) % versions.length]!, 50);
    }
  }

  #chooseVm(): RestartableVm {
    const running = this.#vms.filter((vm) => vm.isRunning);
    return running[randomInteger(this.#random, running.length)]!;
  }

  async #follow(name: string): Promise<void> {
    const { broken, takeUps } = this.#scenario;
    const stream: Stream = { events: [] };
    const vm = this.#chooseVm();
    const isTorn = broken === 'endpoint';
    const first = { 'x-request': `${name}/0`, ...(isTorn ? { [TORN_HEADER]: '1' } : {}) };
    let reading = await read(vm.callers, first, stream, isTorn ? EVENTS + 1 : this.#drawEvents());
    const hasBegun = stream.events.length > 0;
    if (hasBegun) this.#broken += 1;
    const mostTries = hasBegun && !isTorn ? takeUps + RETRIES : 0;
    for (let tries = 1; tries <= mostTries && !reading.isComplete; tries += 1) {
      await this.#leave(vm, tries);
      const most = tries >= takeUps ? EVENTS + 1 : this.#drawEvents();
      const headers = this.#resume(name, tries, stream);
      reading = await read(this.#chooseVm().callers, headers, stream, most);
    }
    if (reading.status === 503) this.#refused += 1;
    this.#judge(stream, reading);
  }

  async #leave(vm: RestartableVm, tries: number): Promise<void> {
    const { origin, awayMs } = this.#scenario;
    if (origin === 'restarts' && tries === 1) this.#restart(vm);
    await sleep(drawBetween(this.#random, awayMs));
  }

  /** Restarts a VM; one at a time. */
  #restart(vm: RestartableVm): void {
    if (this.#restarting !== null) return;
    this.#restarting = vm.restart().finally(() => {
      this.#restarting = null;
    });
  }

  #drawEvents(): number {
    return drawBetween(this.#random, this.#scenario.readEvents);
  }

  #resume(name: string, tries: number, { events }: Stream): Record<string, string> {
    const resumes = {
      attempt: { 'x-resumes': `${name}/0` },
      stranger: { 'x-resumes': 'stream-of-another' },
      malformed: { 'x-resumes': 'x'.repeat(5000) },
      none: {},
    };
    return {
      'x-request': `${name}/${tries}`,
      'x-after': String(events.at(-1)!.id),
      ...resumes[this.#scenario.resumes],
    };
  }

  #judge({ events }: Stream, { isComplete }: Reading): void {
    if (new Set(events.map(({ version }) => version)).size > 1) this.#joined += 1;
    const isWhole = events.length === EVENTS && events.every(({ id }, index) => id === index + 1);
    if (isComplete && isWhole) this.#wentOn += 1;
  }
}

/** Plays a scenario and returns what its callers saw. */
export async function playVersionScenario(scenario: VersionScenario): Promise<VersionOutcome> {
  return new VersionedFleet(scenario).play();
}
