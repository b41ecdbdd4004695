import meow from 'meow';

import { baselineNames } from './baseline/index.js';
import type { Policy } from './createFleet.js';
import { findExperiment, listExperiments, nearestName } from './experiments/index.js';
import { targetFigures } from './targets.js';
import { comparePrevious, saveFigures } from './savedFigures.js';

const HELP = `
  Usage
    $ bench NAME [options]
    $ bench list

  Options
    --seed N       seed of arrivals, lengths and engines; 1 unless given
    --policy P     filbertlatch, ${baselineNames.join(', ')}, all, or previous:
                   filbertlatch, compared with its saved figures
    --plot DIR     write SVG plots of attainment, queues and latencies
    --profile DIR  write CPU profiles of routers that run as own processes
    --save         save the figures for --policy previous
    --json         print only the last line, the figures as JSON

  Examples
    $ bench newsroom-burst --policy all
    $ bench overload-sweep --seed 7 --plot plots
`;

const EXIT_OK = 0;
const EXIT_USAGE = 2;

function parsePolicies(text: string): readonly Policy[] | null {
  const names: readonly Policy[] = ['filbertlatch', ...baselineNames];
  if (text === 'all') return names;
  if (text === 'previous') return ['filbertlatch'];
  const found = names.find((name) => name === text);
  return found === undefined ? null : [found];
}

function printLine(text: string): void {
  process.stdout.write(`${text}\n`);
}

function failUsage(text: string): number {
  process.stderr.write(`bench: ${text}\n`);
  return EXIT_USAGE;
}

async function printList(): Promise<number> {
  const experiments = await listExperiments();
  const width = Math.max(...experiments.map(({ name }) => name.length));
  experiments.forEach(({ name, summary }) => printLine(`${name.padEnd(width)}  ${summary}`));
  return EXIT_OK;
}

/** Runs the `bench` command line; resolves with the exit code. */
export async function main(importMeta: ImportMeta): Promise<number> {
  const { input, flags } = meow(HELP, {
    importMeta,
    flags: {
      json: { type: 'boolean', default: false },
      seed: { type: 'number', default: 1 },
      policy: { type: 'string', default: 'filbertlatch' },
      plot: { type: 'string' },
      profile: { type: 'string' },
      save: { type: 'boolean', default: false },
    },
    allowUnknownFlags: false,
  });
  const [name] = input;
  if (name === undefined) return failUsage(`name of an experiment expected\n${HELP}`);
  if (name === 'list') return printList();
  const experiment = await findExperiment(name);
  if (experiment === undefined) {
    const names = (await listExperiments()).map((known) => known.name);
    return failUsage(
      `unknown experiment ${JSON.stringify(name)}; did you mean ${nearestName(name, names)}?`,
    );
  }
  const policies = parsePolicies(flags.policy);
  if (policies === null) return failUsage(`unknown policy ${JSON.stringify(flags.policy)}`);
  if (!Number.isInteger(flags.seed)) return failUsage('--seed must be an integer');
  const print = flags.json ? () => {} : printLine;
  const result = await experiment.run({
    seed: flags.seed,
    policies,
    plotDirectory: flags.plot ?? null,
    profileDirectory: flags.profile ?? null,
    write: print,
  });
  if (flags.policy === 'previous') print(await comparePrevious(name, flags.seed, result.figures));
  if (flags.save) await saveFigures(name, flags.seed, result.figures);
  const figures = { ...result.figures, ...targetFigures(result.targets) };
  printLine(JSON.stringify({ experiment: name, seed: flags.seed, figures }));
  return EXIT_OK;
}
