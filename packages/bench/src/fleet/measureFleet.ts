import { setTimeout as sleep } from 'node:timers/promises';

import { createPlatform, type StandInPlatform } from '@filbertlatch/standins';

import { buildFleetTable, editAccount, PLANNED_FLEET_SIZE } from './buildFleetTable.js';
import { ControlPlanes, type FleetPlan, type FleetUsage } from './controlPlanes.js';

const MS_PER_SECOND = 1000;
const BYTES_PER_MB = 1_048_576;
/** Time after the start in which code is still compiled and peers still learn of each other. */
const SETTLE_MS = 5000;

const EDITS_PER_DAY = 720;
const SECONDS_PER_DAY = 86_400;
const START_TIMEOUT_MS = 90_000;
const EDIT_TIMEOUT_MS = 30_000;

/** URL of all engines; never called, as the routers get no requests. */
const UNUSED_ENGINE_URL = 'http://127.0.0.1:9';

/** Measured costs of a fleet of control planes; resources are averages per router. */
export interface FleetFigures {
  readonly vms: number;
  /** Time from the start until every router was ready and had the table. */
  readonly startSeconds: number;
  /** Percent of a core that a router uses between edits. */
  readonly idleCorePercent: number;
  /** TCP payload that a router sends and receives between edits. */
  readonly idleBytesPerSecond: number;
  /** Percent of a core, with the cost of a day's table edits added. */
  readonly corePercent: number;
  /** TCP payload, with the cost of a day's table edits added. */
  readonly bytesPerSecond: number;
  /** Estimated memory of one router in a process of its own. */
  readonly memoryMb: number;
  /** Time from the publication of an edit until a router has it. */
  readonly editMedianSeconds: number;
  readonly editWorstSeconds: number;
  /** Calls of the whole fleet to the platform without edits. */
  readonly callsPerSecond: number;
  /** Calls of the whole fleet to the platform that one edit adds. */
  readonly callsPerEdit: number;
}

/** Returns the average use per router between two measurements. */
function usagePerRouter(from: FleetUsage, to: FleetUsage) {
  const seconds = (to.at - from.at) / MS_PER_SECOND;
  const perRouter = (value: number) => value / to.routers;
  return {
    seconds,
    cpuMs: perRouter(to.cpuMs - from.cpuMs),
    bytes: perRouter(to.bytes - from.bytes),
  };
}

/** Returns the memory of an empty process plus that of one router, in megabytes. */
function memoryMbPerRouter({
  memoryBytes,
  baseMemoryBytes,
  routers,
  processes,
}: FleetUsage): number {
  return (baseMemoryBytes / processes + (memoryBytes - baseMemoryBytes) / routers) / BYTES_PER_MB;
}

interface EditMeasurement {
  /** Time from publication until a router had the edit, one for each edit and router. */
  readonly seconds: readonly number[];
  /** Calls to the platform during the edits. */
  readonly calls: number;
}

async function measureEdits(
  planes: ControlPlanes,
  platform: StandInPlatform,
  count: number,
): Promise<EditMeasurement> {
  const seconds: number[] = [];
  const callsBefore = platform.calls.count;
  let table = buildFleetTable(PLANNED_FLEET_SIZE, 1, UNUSED_ENGINE_URL);
  for (let revision = 2; revision < 2 + count; revision += 1) {
    table = editAccount(table, revision);
    const published = Date.now();
    platform.publishTable(table);
    const times = await planes.waitForRevision(revision, EDIT_TIMEOUT_MS);
    seconds.push(...times.map((at) => (at - published) / MS_PER_SECOND));
  }
  return { seconds, calls: platform.calls.count - callsBefore };
}

interface UsageWindow {
  readonly from: FleetUsage;
  readonly to: FleetUsage;
  /** Calls to the platform between the two measurements. */
  readonly calls: number;
}

async function measureIdle(
  planes: ControlPlanes,
  platform: StandInPlatform,
  seconds: number,
): Promise<UsageWindow> {
  await sleep(SETTLE_MS);
  const callsBefore = platform.calls.count;
  const from = await planes.measure();
  await sleep(seconds * MS_PER_SECOND);
  return { from, to: await planes.measure(), calls: platform.calls.count - callsBefore };
}

function computeFigures(
  idle: UsageWindow,
  edits: EditMeasurement,
  after: FleetUsage,
  count: number,
  startSeconds: number,
): FleetFigures {
  const idleUsage = usagePerRouter(idle.from, idle.to);
  const editUsage = usagePerRouter(idle.to, after);
  const idlePerSecond = {
    ms: idleUsage.cpuMs / idleUsage.seconds,
    bytes: idleUsage.bytes / idleUsage.seconds,
  };
  const callsPerSecond = idle.calls / idleUsage.seconds;
  // Spreads the cost of a day's edits evenly over the day.
  const toEditCostPerSecond = (value: number) =>
    (Math.max(0, value / count) * EDITS_PER_DAY) / SECONDS_PER_DAY;
  const editMsPerSecond = toEditCostPerSecond(
    editUsage.cpuMs - idlePerSecond.ms * editUsage.seconds,
  );
  const editBytesPerSecond = toEditCostPerSecond(
    editUsage.bytes - idlePerSecond.bytes * editUsage.seconds,
  );
  const sorted = [...edits.seconds].sort((a, b) => a - b);
  const toPercent = (msPerSecond: number) => (msPerSecond / MS_PER_SECOND) * 100;
  return {
    vms: after.routers,
    startSeconds,
    idleCorePercent: toPercent(idlePerSecond.ms),
    idleBytesPerSecond: idlePerSecond.bytes,
    corePercent: toPercent(idlePerSecond.ms + editMsPerSecond),
    bytesPerSecond: idlePerSecond.bytes + editBytesPerSecond,
    memoryMb: memoryMbPerRouter(after),
    editMedianSeconds: sorted[Math.floor(sorted.length / 2)] ?? NaN,
    editWorstSeconds: sorted.at(-1) ?? NaN,
    callsPerSecond,
    callsPerEdit: (edits.calls - callsPerSecond * editUsage.seconds) / count,
  };
}

/**
 * Runs a fleet of control planes, leaves it idle, then edits its table, and returns what it cost.
 * Throws when a router doesn't start or doesn't get an edit in time.
 */
export async function measureFleet(
  plan: FleetPlan,
  idleSeconds: number,
  edits: number,
): Promise<FleetFigures> {
  const platform = await createPlatform();
  const planes = new ControlPlanes(plan, platform);
  try {
    platform.publishTable(buildFleetTable(PLANNED_FLEET_SIZE, 1, UNUSED_ENGINE_URL));
    const startedMs = Date.now();
    await planes.start();
    await planes.waitForRevision(1, START_TIMEOUT_MS);
    const startSeconds = (Date.now() - startedMs) / MS_PER_SECOND;
    const idle = await measureIdle(planes, platform, idleSeconds);
    const measuredEdits = await measureEdits(planes, platform, edits);
    return computeFigures(idle, measuredEdits, await planes.measure(), edits, startSeconds);
  } finally {
    await planes.stop();
    await platform.stop();
  }
}
