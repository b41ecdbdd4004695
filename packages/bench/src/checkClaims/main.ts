import { claimRules, type ClaimRule } from '@filbertlatch/core';
import meow from 'meow';

import { checkRules } from './checkRules.js';
import type { Finding } from './search.js';

function print(finding: Finding, kind: 'states' | 'histories'): void {
  const extent = finding.isWhole ? ', all there are' : '';
  process.stdout.write(`${finding.situation}: ${finding.states} ${kind}${extent}\n`);
  if (finding.violation === null) return;
  finding.violation.forEach((name) => {
    process.stdout.write(`    ${name}\n`);
  });
}

function isRule(name: string): name is ClaimRule {
  return claimRules.some((rule) => rule === name);
}

/** Runs the search over the rules of claims; exits with 1 when it finds a double run. */
export function main(importMeta: ImportMeta): void {
  const cli = meow(
    `
  Usage
    $ check-claims [--weaken RULE] [--states N] [--histories N] [--seed N]

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
  const findings = checkRules((weaken ?? null) as ClaimRule | null, bounds, print);
  const violations = findings.filter(({ violation }) => violation !== null).length;
  const states = findings.reduce((sum, { states: visited }) => sum + visited, 0);
  process.stdout.write(`states and histories: ${states}\nviolations: ${violations}\n`);
  process.exitCode = violations === 0 ? 0 : 1;
}
