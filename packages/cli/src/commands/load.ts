import { generateLoad, scenarioSchema, type Scenario } from '@filbertlatch/bench';
import { checkShape } from '@filbertlatch/core';

import { EXIT_OK, jsonFlag, type Call, type Command } from '../command.js';
import { formatLoad, summarizeLoad } from '../load/index.js';
import { readJsonFile, UsageError } from '../shared/index.js';

const PROGRESS_INTERVAL_MS = 1000;

async function readScenario(path: string): Promise<Scenario> {
  const checked = checkShape(scenarioSchema, await readJsonFile(path));
  if (checked.ok) return checked.value;
  const lines = checked.faults.map((f) => `${f.path}: expected ${f.expected}, found ${f.found}`);
  throw new UsageError([`${path}: is not a valid scenario`, ...lines].join('\n'));
}

async function runLoad({ operands, flags, output }: Call): Promise<number> {
  const [url, path] = operands;
  if (!URL.canParse(url!)) throw new UsageError(`${JSON.stringify(url)} is not a URL`);
  const scenario = await readScenario(path!);
  const { origin } = new URL(url!);
  let answered = 0;
  const isJson = flags.json === true;
  const showProgress = () => output.writeError(`  ${answered} answered`);
  const progress = isJson ? null : setInterval(showProgress, PROGRESS_INTERVAL_MS);
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
  output.write(isJson ? JSON.stringify({ url: origin, figures }) : formatLoad(figures));
  return EXIT_OK;
}

/** `load`: sends the load of a scenario to one router and prints what callers measured. */
export const load: Command = {
  name: 'load',
  operands: 'URL SCENARIO',
  minOperands: 2,
  maxOperands: 2,
  summary: 'send a scenario’s load to a URL and print latency percentiles',
  example: 'filbertlatch load http://127.0.0.1:8080 packages/bench/scenarios/demo.json --seed 7',
  flags: {
    seed: { type: 'number', default: 1, help: 'seed for arrival times and answer lengths' },
    json: jsonFlag,
  },
  run: runLoad,
};
