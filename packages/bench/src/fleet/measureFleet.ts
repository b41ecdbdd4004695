import { setTimeout as sleep } from 'node:timers/promises';

import { createPlatform, type StandInPlatform } from '@filbertlatch/standins';

import { buildFleetTable, editAccount, FULL_SIZE } from './buildFleetTable.js';
import { ControlPlanes, type FleetPlan, type FleetUse } from './controlPlanes.js';

const MS_PER_SECOND = 1000;
const BYTES_PER_MB = 1_048_576;
/** Time after the start in which code is compiled and news of starts still travel. */
const SETTLE_MS = 5000;

const EDITS_A_DAY = 720;
const SECONDS_A_DAY = 86_400;
const START_TIMEOUT_MS = 90_000;
const EDIT_TIMEOUT_MS = 30_000;

/** Runners that are never called, as no caller asks for anything. */
const RUNNER_URL = 'http://127.0.0.1:9';

/** What a fleet of control planes was found to cost. */
export interface FleetFigures {
  readonly vms: number;
  readonly startSeconds: number;
  /** Part of a core that a daemon takes between edits, in percent. */
  readonly idleCorePercent: number;
  readonly idleBytesPerSecond: number;
  /** With the edits of a day added. */
  readonly corePercent: number;
  readonly bytesPerSecond: number;
  /** Memory of a daemon in a process of its own. */
  readonly memoryMb: number;
  readonly editMedianSeconds: number;
  readonly editWorstSeconds: number;
  /** Calls on the platform in a second without edits, and those that one edit adds. */
  readonly callsPerSecond: number;
  readonly callsPerEdit: number;
}

function average(from: FleetUse, to: FleetUse) {
  const seconds = (to.at - from.at) / MS_PER_SECOND;
  const perRouter = (value: number) => value / to.routers;
  return {
    seconds,
    processorMs: perRouter(to.processorMs - from.processorMs),
    bytes: perRouter(to.bytes - from.bytes),
  };
}

function memoryOf({ memory, baseMemory, routers, processes }: FleetUse): number {
  return (baseMemory / processes + (memory - baseMemory) / routers) / BYTES_PER_MB;
}

interface Edits {
  /** Seconds from publication to each VM, over all edits. */
  readonly seconds: readonly number[];
  readonly calls: number;
}

async function makeEdits(
  planes: ControlPlanes,
  platform: StandInPlatform,
  count: number,
): Promise<Edits> {
  const seconds: number[] = [];
  const callsBefore = platform.calls.count;
  let table = buildFleetTable(FULL_SIZE, 1, RUNNER_URL);
  for (let revision = 2; revision < 2 + count; revision += 1) {
    table = editAccount(table, revision);
    const published = Date.now();
    platform.publishTable(table);
    const instants = await planes.waitForRevision(revision, EDIT_TIMEOUT_MS);
    seconds.push(...instants.map((at) => (at - published) / MS_PER_SECOND));
  }
  return { seconds, calls: platform.calls.count - callsBefore };
}

interface Window {
  readonly from: FleetUse;
  readonly to: FleetUse;
  readonly calls: number;
}

async function watchIdle(
  planes: ControlPlanes,
  platform: StandInPlatform,
  seconds: number,
): Promise<Window> {
  await sleep(SETTLE_MS);
  const callsBefore = platform.calls.count;
  const from = await planes.measure();
  await sleep(seconds * MS_PER_SECOND);
  return { from, to: await planes.measure(), calls: platform.calls.count - callsBefore };
}

function collect(
  idle: Window,
  edits: Edits,
  after: FleetUse,
  count: number,
  startSeconds: number,
): FleetFigures {
  const rest = average(idle.from, idle.to);
  const busy = average(idle.to, after);
  const idleRate = { ms: rest.processorMs / rest.seconds, bytes: rest.bytes / rest.seconds };
  const callsPerSecond = idle.calls / rest.seconds;
  const perDay = (value: number) => (Math.max(0, value / count) * EDITS_A_DAY) / SECONDS_A_DAY;
  const editMs = perDay(busy.processorMs - idleRate.ms * busy.seconds);
  const editBytes = perDay(busy.bytes - idleRate.bytes * busy.seconds);
  const sorted = [...edits.seconds].sort((a, b) => a - b);
  const toPercent = (msPerSecond: number) => (msPerSecond / MS_PER_SECOND) * 100;
  return {
    vms: after.routers,
    startSeconds,
    idleCorePercent: toPercent(idleRate.ms),
    idleBytesPerSecond: idleRate.bytes,
    corePercent: toPercent(idleRate.ms + editMs),
    bytesPerSecond: idleRate.bytes + editBytes,
    memoryMb: memoryOf(after),
    editMedianSeconds: sorted[Math.floor(sorted.length / 2)] ?? NaN,
    editWorstSeconds: sorted.at(-1) ?? NaN,
    callsPerSecond,
    callsPerEdit: (edits.calls - callsPerSecond * busy.seconds) / count,
  };
}

/** Runs a fleet of control planes for a while, edits its table and tells what it cost. */
export async function measureFleet(
  plan: FleetPlan,
  idleSeconds: number,
  edits: number,
): Promise<FleetFigures> {
  const platform = await createPlatform();
  const planes = new ControlPlanes(plan, platform);
  try {
    platform.publishTable(buildFleetTable(FULL_SIZE, 1, RUNNER_URL));
    const begun = Date.now();
    await planes.start();
    await planes.waitForRevision(1, START_TIMEOUT_MS);
    const startSeconds = (Date.now() - begun) / MS_PER_SECOND;
    const idle = await watchIdle(planes, platform, idleSeconds);
    const made = await makeEdits(planes, platform, edits);
    return collect(idle, made, await planes.measure(), edits, startSeconds);
  } finally {
    await planes.stop();
    await platform.stop();
  }
}
