import { generateLoad, scenarioSchema, type Scenario } from '@filbertlatch/bench';
import { checkShape } from '@filbertlatch/core';

import { EXIT_OK, jsonFlag, type Call, type Command } from '../command.js';
import { formatLoad, summarizeLoad } from '../load/index.js';
import { readJsonFile, UsageError } from '../shared/index.js';

const PROGRESS_MS = 1000;

async function readScenario(path: string): Promise<Scenario> {
  const checked = checkShape(scenarioSchema, await readJsonFile(path));
  if (checked.ok) return checked.value;
  const lines = checked.faults.map((f) => `${f.path}: expected ${f.expected}, found ${f.found}`);
  throw new UsageError([`${path}: is no valid scenario`, ...lines].join('\n'));
}

async function runLoad({ operands, flags, output }: Call): Promise<number> {
  const [url, path] = operands;
  if (!URL.canParse(url!)) throw new UsageError(`${JSON.stringify(url)} is not an address`);
  const scenario = await readScenario(path!);
  const { origin } = new URL(url!);
  let answered = 0;
  const isQuiet = flags.json === true;
  const show = () => output.fail(`  ${answered} answered`);
  const progress = isQuiet ? null : setInterval(show, PROGRESS_MS);
  const samples = await generateLoad(
    scenario,
    () => origin,
    Number(flags.seed),
    () => {
      answered += 1;
    },
  );
  if (progress !== null) clearInterval(progress);
  const figures = summarizeLoad(samples);
  output.write(isQuiet ? JSON.stringify({ url: origin, figures }) : formatLoad(figures));
  return EXIT_OK;
}

/** Sends the load of a scenario to one address. */
export const load: Command = {
  name: 'load',
  operands: 'URL SCENARIO',
  least: 2,
  most: 2,
  summary: 'send a scenario’s load to an address and show percentiles',
  example: 'filbertlatch load http://127.0.0.1:8080 packages/bench/scenarios/demo.json --seed 7',
  flags: {
    seed: { type: 'number', default: 1, help: 'seed of arrivals and lengths' },
    json: jsonFlag,
  },
  run: runLoad,
};
