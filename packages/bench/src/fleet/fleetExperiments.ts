import type { Experiment, ExperimentOptions, ExperimentResult } from '../experiments/experiment.js';
import { checkTargets, type Target } from '../targets.js';
import type { FleetPlan } from './controlPlanes.js';
import { measureFleet, type FleetFigures } from './measureFleet.js';

const ZONES = 6;
const WATCH_SECONDS = 30;
const IDLE_SECONDS = 6;
const TABLE_EDITS = 3;
const READERS_PER_ZONE = 2;

interface MeasuredFleet {
  readonly name: string;
  readonly figures: FleetFigures;
}

function createPlan(vms: number, readersPerZone: number | null): FleetPlan {
  return { vms, zones: ZONES, readersPerZone, watchSeconds: WATCH_SECONDS };
}

const columns = [
  'startSeconds',
  'corePercent',
  'bytesPerSecond',
  'memoryMb',
  'editMedianSeconds',
  'editWorstSeconds',
  'callsPerSecond',
  'callsPerEdit',
] as const;

/** Returns the figures of all fleets, each named `FLEET.COLUMN`. */
function nameFigures(measured: readonly MeasuredFleet[]): Record<string, number> {
  const entries = measured.flatMap(({ name, figures }) =>
    columns.map((column): [string, number] => [`${name}.${column}`, figures[column]]),
  );
  return Object.fromEntries(entries);
}

/** Creates a target that holds when the figure is at most the value. */
function atMost(figure: string, value: number): Target {
  return { figure, bound: 'at-most', value, factor: 1, plus: 0 };
}

const FRACTION_DIGITS = 2;

async function runPlans(
  plans: readonly (readonly [string, FleetPlan])[],
  targets: readonly Target[],
  { write }: ExperimentOptions,
): Promise<ExperimentResult> {
  write(`${'fleet'.padEnd(14)}${columns.map((column) => column.padStart(18)).join('')}`);
  const measured: MeasuredFleet[] = [];
  for (const [name, plan] of plans) {
    const figures = await measureFleet(plan, IDLE_SECONDS, TABLE_EDITS);
    measured.push({ name, figures });
    const cells = columns.map((column) => figures[column].toFixed(FRACTION_DIGITS).padStart(18));
    write(`${name.padEnd(14)}${cells.join('')}`);
  }
  const figures = nameFigures(measured);
  const first = measured[0]!.figures;
  const last = measured.at(-1)!.figures;
  const vms = Math.max(1, last.vms - first.vms);
  const slopes = columns.map((column): [string, number] => [
    `slope.${column}PerVm`,
    (last[column] - first[column]) / vms,
  ]);
  const all = { ...figures, ...Object.fromEntries(slopes) };
  return { figures: all, targets: checkTargets(targets, all, []) };
}

/** Measures what the control plane of one router costs as the fleet grows. */
export const fleetSlopesExperiment: Experiment = {
  name: 'fleet-slopes',
  summary: 'Control planes of 8, 32, 128 and 330 VMs: CPU time, memory and network bytes of each.',
  run: (options) =>
    runPlans(
      [8, 32, 128, 330].map((vms) => [`vms${vms}`, createPlan(vms, null)] as const),
      [8, 32, 128, 330].flatMap((vms) => [
        atMost(`vms${vms}.corePercent`, 1.6),
        atMost(`vms${vms}.memoryMb`, 128),
        atMost(`vms${vms}.bytesPerSecond`, 8192),
      ]),
      options,
    ),
};

/** Measures how fast a table edit reaches 330 VMs when all, or only a few, watch the platform. */
export const tableFleetExperiment: Experiment = {
  name: 'table-fleet',
  summary:
    'Table edits at 330 control planes: every VM watches, or two readers per zone tell peers.',
  run: (options) =>
    runPlans(
      [
        ['watchAll', createPlan(330, null)],
        ['readers', createPlan(330, READERS_PER_ZONE)],
      ],
      [atMost('watchAll.editWorstSeconds', 12), atMost('readers.editWorstSeconds', 12)],
      options,
    ),
};
