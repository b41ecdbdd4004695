import { claimRules, type ClaimRule } from '@filbertlatch/core';
import meow from 'meow';

import { checkRules } from './checkRules.js';
import type { SearchResult } from './search.js';

function printResult(result: SearchResult, kind: 'states' | 'histories'): void {
  const extent = result.isExhaustive ? ', exhaustive' : '';
  process.stdout.write(`${result.situation}: ${result.states} ${kind}${extent}\n`);
  if (result.violation === null) return;
  result.violation.forEach((name) => {
    process.stdout.write(`    ${name}\n`);
  });
}

function isRule(name: string): name is ClaimRule {
  return claimRules.some((rule) => rule === name);
}

/** Runs the search over the claim rules; sets exit code 1 when it finds a second run of a key. */
export function main(importMeta: ImportMeta): void {
  const cli = meow(
    `
  Usage
    $ check-claims [--weaken RULE] [--states N] [--histories N] [--seed N]

  Options
    --weaken RULE   disable one rule, to see the second run that it prevents
    --states N      maximum number of states visited in each situation; 25000 by default
    --histories N   random histories followed in each situation; 4000 by default
    --seed N        seed of the random histories; 1 by default

  Rules
    ${claimRules.join('\n    ')}
`,
    {
      importMeta,
      flags: {
        weaken: { type: 'string' },
        states: { type: 'number', default: 25_000 },
        histories: { type: 'number', default: 4000 },
        seed: { type: 'number', default: 1 },
      },
      allowUnknownFlags: false,
    },
  );
  const { weaken, ...bounds } = cli.flags;
  if (weaken !== undefined && !isRule(weaken)) cli.showHelp(2);
  const results = checkRules((weaken ?? null) as ClaimRule | null, bounds, printResult);
  const violations = results.filter(({ violation }) => violation !== null).length;
  const states = results.reduce((sum, { states: visited }) => sum + visited, 0);
  process.stdout.write(`states and histories: ${states}\nviolations: ${violations}\n`);
  process.exitCode = violations === 0 ? 0 : 1;
}
