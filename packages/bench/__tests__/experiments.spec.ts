import { tmpdir } from 'node:os';
import { mkdtemp, readdir, readFile, rm } from 'node:fs/promises';
import { join } from 'node:path';

import { describe, it } from '@filbertlatch/core/testing';

import { baselineNames } from '../src/baseline/index.js';
import { LeastOutstanding, RoundRobin } from '../src/baseline/chooseLane.js';
import { collectRunFigures } from '../src/collectRunFigures.js';
import { nearestName } from '../src/experiments/index.js';
import { listScenarios, loadScenario } from '../src/loadScenario.js';
import { isSweep, plotRun, plotSweep } from '../src/plots/index.js';
import { runScenario } from '../src/runScenario.js';
import { scenarioSchema, type Scenario } from '../src/scenario.js';
import { checkTargets, targetFigures, targetSchema } from '../src/targets.js';
import { loadUnhurriedScenario } from './unhurriedScenario.js';

const SEED = 17;

async function loadShort(): Promise<Scenario> {
  const scenario = await loadUnhurriedScenario();
  return { ...scenario, seconds: 1, routers: 2 };
}

describe('the scenarios', () => {
  it('are valid, and their classes, accounts and targets are there', async (t) => {
    for (const name of await listScenarios()) {
      const scenario = await loadScenario(name);
      const classes = scenario.classes.map((row) => (row as { id: string }).id);
      t.is(scenario.name, name);
      t.not(scenario.summary, '');
      for (const load of scenario.loads) {
        t.true(classes.includes(load.class), `${name}: ${load.class}`);
        t.true(scenario.accounts.includes(load.account), `${name}: ${load.account}`);
      }
    }
  });

  it('are refused with an unknown field', (t) => {
    t.false(scenarioSchema.safeParse({ name: 'x', speed: 1 }).success);
  });
});

describe('nearestName', () => {
  it('finds the name that was meant, long or short', (t) => {
    const names = ['demo', 'newsroom-burst', 'straggler'];
    t.is(nearestName('newsrom-bust', names), 'newsroom-burst');
    t.is(nearestName('dmo', names), 'demo');
  });
});

describe('the targets', () => {
  const figures = { a: 0.9, 'round-robin.a': 0.6, 'least-outstanding.a': 0.7, b: 0.5 };
  const table: [string, object, boolean | null][] = [
    ['a fixed bound that holds', { figure: 'a', bound: 'at-least', value: 0.9 }, true],
    ['a fixed bound that does not', { figure: 'a', bound: 'at-most', value: 0.89 }, false],
    [
      'points above the better baseline',
      { figure: 'a', bound: 'at-least', reference: 'best-baseline', plus: 0.21 },
      false,
    ],
    ['a part of the highest', { figure: 'b', bound: 'at-least', reference: ['a', 'b'] }, false],
    ['a figure that was not measured', { figure: 'c', bound: 'at-least', value: 0 }, null],
    [
      'a baseline that was not run',
      { figure: 'b', bound: 'at-least', reference: 'best-baseline' },
      null,
    ],
  ];
  for (const [title, target, met] of table) {
    it(`judges ${title}`, (t) => {
      const results = checkTargets([targetSchema.parse(target)], figures, baselineNames);
      t.is(results[0]!.met, met);
      t.is(
        Object.keys(targetFigures(results)).some((name) => name.startsWith('met.')),
        met !== null,
      );
    });
  }
});

describe('the baselines', () => {
  const createLane = (inFlight: number) => ({ slots: 4, inFlight, waiting: [] });

  it('take endpoints in turn, or the one with the fewest', (t) => {
    const lanes = [createLane(3), createLane(1), createLane(2)];
    const inTurn = new RoundRobin();
    t.is(new Set([0, 1, 2].map(() => inTurn.choose(lanes))).size, 3);
    t.is(new LeastOutstanding().choose(lanes), lanes[1]!);
  });

  for (const policy of ['filbertlatch', ...baselineNames] as const) {
    it(`answer a whole scenario: ${policy}`, async (t) => {
      const run = await runScenario(await loadShort(), SEED, policy);
      const whole = run.samples.filter((sample) => sample.whole);
      t.is(whole.length, run.samples.length);
      // Nothing else stands between these callers and an answer: each one gets its own, whole.
      for (const sample of whole.filter(({ target }) => !target.startsWith('service:'))) {
        t.is(sample.tokens, sample.askedTokens);
      }
      t.is(
        collectRunFigures(run, 'p.')['p.bulletin.requests'],
        run.summary.classes.find((c) => c.class === 'bulletin')!.requests,
      );
    });
  }
});

describe('the plots', () => {
  it('are drawn for every kind, with a line for each class', async (t) => {
    const directory = await mkdtemp(join(tmpdir(), 'filbertlatch-'));
    t.teardown(() => rm(directory, { recursive: true }));
    const run = await runScenario(await loadShort(), SEED, 'round-robin');
    await plotRun(run, directory, 'demo');
    const files = await readdir(directory);
    t.deepEqual(files.sort(), ['demo-attainment.svg', 'demo-latency.svg', 'demo-queue.svg']);
    const svg = await readFile(join(directory, 'demo-attainment.svg'), 'utf8');
    for (const row of run.classes) t.true(svg.includes(`>${row.id}</text>`));
    t.false(svg.includes('NaN'));
  });

  it('show good answers over the load of a sweep', async (t) => {
    const directory = await mkdtemp(join(tmpdir(), 'filbertlatch-'));
    t.teardown(() => rm(directory, { recursive: true }));
    const scenario = await loadScenario('overload-sweep');
    t.true(isSweep(scenario));
    t.false(isSweep(await loadScenario('straggler')));
    const entries = scenario.variants.map((v) => [`${v.name}.goodPerSecond`, 30] as const);
    const lines = [{ name: 'filbertlatch', prefix: '' }];
    await plotSweep(scenario, Object.fromEntries(entries), lines, directory);
    const svg = await readFile(join(directory, 'overload-sweep.svg'), 'utf8');
    // The path of six points: a move and five lines.
    t.is(svg.match(/ d="(M[^"]*)"/)?.[1]?.split('L').length, scenario.variants.length);
  });
});
