import type { Experiment, ExperimentOptions, ExperimentResult } from '../experiments/experiment.js';
import { checkTargets, type Target } from '../targets.js';
import type { FleetPlan } from './controlPlanes.js';
import { measureFleet, type FleetFigures } from './measureFleet.js';

const ZONES = 6;
const WATCH_SECONDS = 30;
const IDLE_SECONDS = 6;
const EDITS = 3;
const READERS_PER_ZONE = 2;

interface Sized {
  readonly name: string;
  readonly figures: FleetFigures;
}

function planFor(vms: number, readersPerZone: number | null): FleetPlan {
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

function flatten(sized: readonly Sized[]): Record<string, number> {
  const entries = sized.flatMap(({ name, figures }) =>
    columns.map((column): [string, number] => [`${name}.${column}`, figures[column]]),
  );
  return Object.fromEntries(entries);
}

function bound(figure: string, value: number): Target {
  return { figure, bound: 'at-most', value, factor: 1, plus: 0 };
}

const DIGITS = 2;

async function runPlans(
  plans: readonly (readonly [string, FleetPlan])[],
  targets: readonly Target[],
  { write }: ExperimentOptions,
): Promise<ExperimentResult> {
  write(`${'fleet'.padEnd(14)}${columns.map((column) => column.padStart(18)).join('')}`);
  const sized: Sized[] = [];
  for (const [name, plan] of plans) {
    const figures = await measureFleet(plan, IDLE_SECONDS, EDITS);
    sized.push({ name, figures });
    const cells = columns.map((column) => figures[column].toFixed(DIGITS).padStart(18));
    write(`${name.padEnd(14)}${cells.join('')}`);
  }
  const figures = flatten(sized);
  const first = sized[0]!.figures;
  const last = sized.at(-1)!.figures;
  const vms = Math.max(1, last.vms - first.vms);
  const slopes = columns.map((column): [string, number] => [
    `slope.${column}PerVm`,
    (last[column] - first[column]) / vms,
  ]);
  const all = { ...figures, ...Object.fromEntries(slopes) };
  return { figures: all, targets: checkTargets(targets, all, []) };
}

/** What a daemon's control side costs as the fleet grows. */
export const fleetSlopesExperiment: Experiment = {
  name: 'fleet-slopes',
  summary: 'Control side of 8, 32, 128 and 330 daemons: processor time, memory and bytes a daemon.',
  run: (options) =>
    runPlans(
      [8, 32, 128, 330].map((vms) => [`vms${vms}`, planFor(vms, null)] as const),
      [8, 32, 128, 330].flatMap((vms) => [
        bound(`vms${vms}.corePercent`, 1.6),
        bound(`vms${vms}.memoryMb`, 128),
        bound(`vms${vms}.bytesPerSecond`, 8192),
      ]),
      options,
    ),
};

/** How fast a table edit reaches 330 VMs, with every VM watching and with few readers. */
export const tableFleetExperiment: Experiment = {
  name: 'table-fleet',
  summary: 'Table edits at 330 control planes: every VM watches, or two readers a zone and peers.',
  run: (options) =>
    runPlans(
      [
        ['watchAll', planFor(330, null)],
        ['readers', planFor(330, READERS_PER_ZONE)],
      ],
      [bound('watchAll.editWorstSeconds', 12), bound('readers.editWorstSeconds', 12)],
      options,
    ),
};
