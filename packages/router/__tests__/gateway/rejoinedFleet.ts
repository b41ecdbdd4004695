import { setTimeout as sleep } from 'node:timers/promises';

import { createRandom, randomInteger, type Random } from '@filbertlatch/core';

import { ChangingStore } from './changingStore.js';
import { createRoute, testConfiguration } from './fixtures.js';
import { createVms, type RestartableVm } from './restartableVm.js';
import { read, type Reading, type Stream } from './versionedFleet.js';
import { EVENTS, VersionedEndpoint } from './versionedEndpoint.js';

/** One scenario of streams that callers take up after all VMs were killed at once. */
export interface RejoinScenario {
  readonly seed: number;
  readonly vms: number;
  readonly streams: number;
  /** Endpoints of each version, the older first. */
  readonly endpoints: Readonly<Record<string, number>>;
  /** When the endpoints of the older version are gone. */
  readonly gone: 'before' | 'after' | 'never';
  /** VMs that live on. */
  readonly survivors: number;
  /** What the store does when the VMs are back. */
  readonly store: 'sound' | 'compacted' | 'without-history';
  /** Times that the VMs are killed. */
  readonly kills: number;
  /** Whether the VMs are killed at once, or one after the other is back. */
  readonly order: 'at-once' | 'in-turn';
}

/** What a scenario showed. */
export interface RejoinOutcome {
  readonly begun: number;
  /** Streams that hold events of two versions. */
  readonly joined: number;
  /** Streams that were read to their end. */
  readonly wentOn: number;
  /** Streams whose last try was refused as not run. */
  readonly refused: number;
}

const TRIES = 8;
const RETRY_MS = 250;
const DOWN_MS = 150;

/** Time that a VM has until the next one is killed. */
const JOIN_MS = 300;

const ROUTE_TIMEOUT_MS = 5000;

function judge(begun: readonly Stream[], ended: readonly Reading[]): RejoinOutcome {
  const isWhole = ({ events }: Stream) =>
    events.length === EVENTS && events.every(({ id }, index) => id === index + 1);
  const versionsOf = ({ events }: Stream) => new Set(events.map(({ version }) => version)).size;
  return {
    begun: begun.length,
    joined: begun.filter((stream) => versionsOf(stream) > 1).length,
    wentOn: begun.filter((stream, index) => isWhole(stream) && ended[index]!.isComplete).length,
    refused: ended.filter(({ status }) => status === 503).length,
  };
}

/** Gateways that are killed at once, endpoints of one or two versions, and callers that come back. */
class RejoinedFleet {
  readonly #scenario: RejoinScenario;

  readonly #random: Random;

  readonly #store = new ChangingStore({
    ...testConfiguration,
    routes: [
      createRoute({
        prefix: '/resumed/',
        repetition: 'streaming',
        isResumable: true,
        attempts: 2,
        timeoutMs: ROUTE_TIMEOUT_MS,
      }),
    ],
  });

  readonly #endpoints = new Map<string, readonly VersionedEndpoint[]>();

  #vms: RestartableVm[] = [];

  constructor(scenario: RejoinScenario) {
    this.#scenario = scenario;
    this.#random = createRandom(scenario.seed);
    const life = { end: 'reset', identity: 'new' } as const;
    Object.entries(scenario.endpoints).forEach(([version, count]) => {
      const endpoints = Array.from({ length: count }, (_, index) => {
        const name = `${version}-${index}`;
        return new VersionedEndpoint(version, this.#random, name, life, this.#store);
      });
      this.#endpoints.set(version, endpoints);
    });
  }

  async play(): Promise<RejoinOutcome> {
    const { streams, vms } = this.#scenario;
    await Promise.all([...this.#endpoints.values()].flat().map((endpoint) => endpoint.start()));
    this.#vms = await createVms(vms, this.#store);
    await Promise.all(this.#vms.map((vm) => vm.start()));
    try {
      const begun = await Promise.all(Array.from({ length: streams }, (_, i) => this.#begin(i)));
      await this.#restart();
      const ended = await Promise.all(begun.map((stream, index) => this.#takeUp(stream, index)));
      return judge(begun, ended);
    } finally {
      this.#vms.forEach((vm) => vm.stop());
      [...this.#endpoints.values()].flat().forEach((endpoint) => endpoint.stop());
    }
  }

  async #begin(index: number): Promise<Stream> {
    await sleep(randomInteger(this.#random, 600));
    const stream: Stream = { events: [] };
    const most = 1 + randomInteger(this.#random, 12);
    await read(this.#chooseVm().callers, { 'x-request': `stream-${index}/0` }, stream, most);
    return stream;
  }

  async #restart(): Promise<void> {
    const { gone, kills, order, store, survivors } = this.#scenario;
    if (gone === 'before') this.#endOlder();
    if (store !== 'sound') this.#store.dropHistory(store === 'without-history');
    const killed = this.#vms.slice(survivors);
    for (let kill = 0; kill < kills; kill += 1) {
      if (order === 'at-once') await this.#kill(killed);
      else for (const vm of killed) await this.#kill([vm]);
    }
    if (gone === 'after') this.#endOlder();
  }

  async #kill(vms: readonly RestartableVm[]): Promise<void> {
    vms.forEach((vm) => vm.stop());
    await sleep(DOWN_MS);
    await Promise.all(vms.map((vm) => vm.start()));
    if (this.#scenario.order === 'in-turn') await sleep(JOIN_MS);
  }

  #endOlder(): void {
    const [older = []] = this.#endpoints.values();
    older.forEach((endpoint) => endpoint.end());
  }

  async #takeUp(stream: Stream, index: number): Promise<Reading> {
    let reading: Reading = { status: 0, isComplete: false };
    for (let tries = 1; tries <= TRIES && !reading.isComplete; tries += 1) {
      await sleep(randomInteger(this.#random, RETRY_MS));
      const headers = {
        'x-request': `stream-${index}/${tries}`,
        'x-resumes': `stream-${index}/0`,
        'x-after': String(stream.events.at(-1)?.id ?? 0),
      };
      reading = await read(this.#chooseVm().callers, headers, stream, EVENTS + 1);
      if (reading.status === 503) reading = { ...reading, isComplete: false };
    }
    return reading;
  }

  #chooseVm(): RestartableVm {
    return this.#vms[randomInteger(this.#random, this.#vms.length)]!;
  }
}

/** Plays a scenario and returns what its callers saw. */
export async function playRejoinScenario(scenario: RejoinScenario): Promise<RejoinOutcome> {
  return new RejoinedFleet(scenario).play();
}
