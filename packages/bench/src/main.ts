import { nextInteger } from '@filbertlatch/core';
import meow from 'meow';

import { createFleet } from './createFleet.js';
import { formatSummary } from './formatSummary.js';
import { generateLoad } from './generateLoad.js';
import { loadScenario } from './loadScenario.js';
import { summarize } from './summarize.js';

/** Runs the experiment tool's command line. */
export async function main(importMeta: ImportMeta): Promise<void> {
  const cli = meow(
    `
  Usage
    $ bench NAME [--json] [--seed N]

  Example
    $ bench demo --seed 7
`,
    {
      importMeta,
      flags: { json: { type: 'boolean' }, seed: { type: 'number', default: 1 } },
      allowUnknownFlags: false,
    },
  );
  const name = cli.input[0];
  if (name === undefined) cli.showHelp(2);
  const { seed } = cli.flags;
  const scenario = await loadScenario(name!);
  const fleet = await createFleet(scenario, seed);
  const urls = fleet.routers.map((router) => router.callerUrl);
  const samples = await generateLoad(scenario, (r) => urls[nextInteger(r, urls.length)]!, seed);
  const summary = summarize(fleet.table, fleet, samples);
  await fleet.stop();
  if (!cli.flags.json) process.stdout.write(`${formatSummary(summary)}\n`);
  const result = { experiment: name, seed, figures: summary };
  process.stdout.write(`${JSON.stringify(result)}\n`);
}
