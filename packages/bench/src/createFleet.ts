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

/** Token that the fleet's operators use; the fleet listens on loopback only. */
export const OPERATOR_TOKEN = 'operator-token-of-the-bench';

/** Key that the fleet's VMs share. */
export const SHARED_KEY = 'shared-key-of-the-bench-fleet';

/** Which router stands before the endpoints. */
export type Policy = 'filbertlatch' | BaselineName;

/** One address that callers are sent to. */
export interface Entry {
  readonly id: string;
  readonly url: string;
  /** False once it was stopped. */
  isUp(): boolean;
  stop(): Promise<void>;
}

/** Routers and stand-ins of one scenario, all in this process. */
export interface Fleet {
  readonly platform: StandInPlatform;
  readonly engines: readonly StandInEngine[];
  readonly services: readonly StandInService[];
  /** Routers of this project; none under a baseline. */
  readonly routers: readonly Router[];
  readonly entries: readonly Entry[];
  readonly table: Table;
  /** Publishes the list of VMs without those named. */
  publishListWithout(vms: readonly string[]): void;
  stop(): Promise<void>;
}

/** Returns the API key of an account of the fleet. */
export function keyOf(account: string): string {
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
  const wanted = scenario.engines.flatMap((group) =>
    Array.from({ length: group.count }, (_, index) => ({
      id: `${group.model}-${index}`,
      models: [group.managed ? `${group.model}@1` : group.model],
      load,
      slots: group.slots,
      stepMs: group.stepMs,
      prefillTokensPerSecond: group.prefillTokensPerSecond,
    })),
  );
  return Promise.all(wanted.map((options, at) => createEngine({ ...options, seed: seed + at })));
}

async function createServices(scenario: Scenario): Promise<StandInService[]> {
  const wanted = scenario.services.flatMap(({ name, count, answerMs, slots }) =>
    Array.from({ length: count }, (_, index) => ({
      id: `${name}-${index}`,
      name,
      answerMs,
      slots,
    })),
  );
  return Promise.all(wanted.map((options) => createService(options)));
}

function engineRows(scenario: Scenario, engines: readonly StandInEngine[]) {
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

function serviceRows(scenario: Scenario, services: readonly StandInService[]) {
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
      keyDigest: createHash('sha256').update(keyOf(id)).digest('hex'),
      homeRegion: scenario.region,
      defaultClass: classIds[0],
    })),
    models: scenario.engines.map((group) => ({
      id: group.model,
      weightBytes: scenario.weights.bytesPerModel,
    })),
    endpoints: [...engineRows(scenario, engines), ...serviceRows(scenario, services)],
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
      // The whole fleet is new, and all run by one clock.
      claims: { startWaitSeconds: 0, skewSeconds: 0 },
      drainGraceSeconds,
      logLevel: 'error',
      seed: index + 1,
    }),
  );
}

async function waitUntilReady(routers: readonly Router[], revision: number): Promise<void> {
  const latest = performance.now() + READY_TIMEOUT_MS;
  while (routers.some((router) => router.state().table.revision < revision)) {
    if (performance.now() > latest) throw new Error('the routers did not become ready');
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
  return (left) => {
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
      vms: vms.filter((vm) => !left.includes(vm.id)),
      leavingEndpoints: [],
    });
  };
}

/** Starts the fleet of a scenario on loopback and waits until each router has the table. */
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
  const isOurs = policy === 'filbertlatch';
  const routers = isOurs
    ? await Promise.all(
        indexes.map((index) => createRouterAt(scenario, platform, index, drainGraceSeconds)),
      )
    : [];
  const parts = isOurs
    ? routers
    : await Promise.all(indexes.map(() => createBaseline(policy, table)));
  const entries = parts.map((part, index) => createEntry(`vm-${index}`, part));
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
