import { createHash } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';

import { checkTable, type Table } from '@filbertlatch/core';
import { createRouter, parseSettings, type Router } from '@filbertlatch/router';
import {
  createEngine,
  createPlatform,
  createService,
  createWeightStore,
  type StandInEngine,
  type StandInPlatform,
  type StandInService,
  type StandInWeightStore,
} from '@filbertlatch/standins';
import { request } from 'undici';

import { createBaseline, type BaselineName } from './baseline/index.js';
import type { Scenario } from './scenario.js';

const READY_POLL_MS = 20;
const READY_TIMEOUT_MS = 10_000;

/** Operator token of the fleet's admin API; not secret, as the fleet listens on loopback only. */
export const OPERATOR_TOKEN = 'operator-token-of-the-bench';

/** Key with which the VMs of the fleet authenticate to one another. */
export const SHARED_KEY = 'shared-key-of-the-bench-fleet';

/** Router under test: this project's or a baseline. */
export type Policy = 'filbertlatch' | BaselineName;

/** A router, of this project or a baseline, to which callers send requests. */
export interface Entry {
  readonly id: string;
  readonly url: string;
  /** Returns false from the call of `stop` on. */
  isUp(): boolean;
  stop(): Promise<void>;
}

/** Routers and stand-ins of one scenario, all in this process on loopback. */
export interface Fleet {
  readonly platform: StandInPlatform;
  readonly engines: readonly StandInEngine[];
  readonly services: readonly StandInService[];
  /** Routers of this project; none under a baseline. */
  readonly routers: readonly Router[];
  readonly entries: readonly Entry[];
  readonly table: Table;
  /** Publishes the VM list without the VMs of these ids. */
  publishListWithout(vms: readonly string[]): void;
  stop(): Promise<void>;
}

/** Returns the API key of an account of the fleet. */
export function apiKeyOf(account: string): string {
  return `key-${account}`;
}

function zoneAt(scenario: Scenario, index: number): string {
  return scenario.zones[index % scenario.zones.length]!;
}

async function loadWeights(store: StandInWeightStore, bytes: number, name: string): Promise<void> {
  const { body } = await request(`${store.url}/weights/${name}?bytes=${bytes}`);
  await body.dump();
}

async function createEngines(
  scenario: Scenario,
  seed: number,
  store: StandInWeightStore,
): Promise<StandInEngine[]> {
  const load = (name: string) => loadWeights(store, scenario.weights.bytesPerModel, name);
  const engineOptions = scenario.engines.flatMap((group) =>
    Array.from({ length: group.count }, (_, index) => ({
      id: `${group.model}-${index}`,
      models: [group.managed ? `${group.model}@1` : group.model],
      load,
      slots: group.slots,
      stepMs: group.stepMs,
      prefillTokensPerSecond: group.prefillTokensPerSecond,
    })),
  );
  return Promise.all(
    engineOptions.map((options, at) => createEngine({ ...options, seed: seed + at })),
  );
}

async function createServices(scenario: Scenario): Promise<StandInService[]> {
  const serviceOptions = scenario.services.flatMap(({ name, count, answerMs, slots }) =>
    Array.from({ length: count }, (_, index) => ({
      id: `${name}-${index}`,
      name,
      answerMs,
      slots,
    })),
  );
  return Promise.all(serviceOptions.map((options) => createService(options)));
}

function buildEngineRows(scenario: Scenario, engines: readonly StandInEngine[]) {
  return engines.map((engine, index) => {
    const group = scenario.engines.find((g) => engine.id.startsWith(`${g.model}-`))!;
    return {
      id: engine.id,
      kind: 'engine',
      url: engine.url,
      zone: zoneAt(scenario, index),
      region: scenario.region,
      slots: group.slots,
      models: [group.model],
      fencing: 'checked',
      managed: group.managed,
    };
  });
}

function buildServiceRows(scenario: Scenario, services: readonly StandInService[]) {
  return services.map((service, index) => ({
    id: service.id,
    kind: 'service',
    service: service.name,
    url: service.url,
    zone: zoneAt(scenario, index),
    region: scenario.region,
    slots: scenario.services.find((s) => s.name === service.name)!.slots,
  }));
}

function buildTable(
  scenario: Scenario,
  engines: readonly StandInEngine[],
  services: readonly StandInService[],
): Table {
  const classIds = scenario.classes.map((row) => (row as { id: string }).id);
  const checked = checkTable({
    revision: 1,
    classes: scenario.classes,
    accounts: scenario.accounts.map((id) => ({
      id,
      keyDigest: createHash('sha256').update(apiKeyOf(id)).digest('hex'),
      homeRegion: scenario.region,
      defaultClass: classIds[0],
    })),
    models: scenario.engines.map((group) => ({
      id: group.model,
      weightBytes: scenario.weights.bytesPerModel,
    })),
    endpoints: [...buildEngineRows(scenario, engines), ...buildServiceRows(scenario, services)],
    limits: scenario.limits,
  });
  if (checked.ok) return checked.value;
  throw new TypeError(checked.faults.map((f) => `${f.path}: ${f.expected}`).join('; '));
}

function createRouterAt(
  scenario: Scenario,
  platform: StandInPlatform,
  index: number,
  drainGraceSeconds: number,
) {
  return createRouter(
    parseSettings({
      vm: { id: `vm-${index}`, zone: zoneAt(scenario, index), region: scenario.region },
      callers: { port: 0 },
      admin: { port: 0, operatorToken: OPERATOR_TOKEN },
      peers: { port: 0, sharedKey: SHARED_KEY },
      platform: {
        configurationUrl: platform.url,
        listUrl: platform.url,
        weightsBytesPerSecond: scenario.weights.bytesPerSecond,
      },
      // No earlier claims to wait for: the whole fleet is new; no clock skew: one process.
      claims: { startWaitSeconds: 0, skewSeconds: 0 },
      drainGraceSeconds,
      logLevel: 'error',
      seed: index + 1,
    }),
  );
}

async function waitUntilReady(routers: readonly Router[], revision: number): Promise<void> {
  const deadline = performance.now() + READY_TIMEOUT_MS;
  while (routers.some((router) => router.state().table.revision < revision)) {
    if (performance.now() > deadline) throw new Error('the routers did not become ready');
    await sleep(READY_POLL_MS);
  }
}

function createEntry(id: string, part: { callerUrl: string; stop(): Promise<void> }): Entry {
  let stopping: Promise<void> | null = null;
  return {
    id,
    url: part.callerUrl,
    isUp: () => stopping === null,
    stop: () => {
      stopping ??= part.stop();
      return stopping;
    },
  };
}

function createListPublisher(
  scenario: Scenario,
  platform: StandInPlatform,
  routers: readonly Router[],
): Fleet['publishListWithout'] {
  let revision = 0;
  return (excluded) => {
    revision += 1;
    const vms = routers.map((router, index) => ({
      id: `vm-${index}`,
      peerUrl: router.peerUrl,
      zone: zoneAt(scenario, index),
      region: scenario.region,
      state: 'live' as const,
    }));
    platform.publishList({
      revision,
      vms: vms.filter((vm) => !excluded.includes(vm.id)),
      leavingEndpoints: [],
    });
  };
}

/**
 * Starts the fleet of a scenario on loopback and waits until each router has the table. Throws
 * TypeError on an invalid table, and Error when the routers are not ready within 10 seconds.
 */
export async function createFleet(
  scenario: Scenario,
  seed: number,
  policy: Policy = 'filbertlatch',
  drainGraceSeconds = 0,
): Promise<Fleet> {
  const platform = await createPlatform();
  const weights = await createWeightStore(scenario.weights.bytesPerSecond);
  const engines = await createEngines(scenario, seed, weights);
  const services = await createServices(scenario);
  const table = buildTable(scenario, engines, services);
  const indexes = Array.from({ length: scenario.routers }, (_, index) => index);
  const isFilbertlatch = policy === 'filbertlatch';
  const routers = isFilbertlatch
    ? await Promise.all(
        indexes.map((index) => createRouterAt(scenario, platform, index, drainGraceSeconds)),
      )
    : [];
  const entryRouters = isFilbertlatch
    ? routers
    : await Promise.all(indexes.map(() => createBaseline(policy, table)));
  const entries = entryRouters.map((part, index) => createEntry(`vm-${index}`, part));
  const publishListWithout = createListPublisher(scenario, platform, routers);
  publishListWithout([]);
  platform.publishTable(table);
  await waitUntilReady(routers, table.revision);
  return {
    platform,
    engines,
    services,
    routers,
    entries,
    table,
    publishListWithout,
    stop: async () => {
      await Promise.all(entries.map((entry) => entry.stop()));
      await Promise.all([...engines, ...services, platform, weights].map((part) => part.stop()));
    },
  };
}
