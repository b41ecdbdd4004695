import { tmpdir } from 'node:os';
import { mkdtemp, readdir, readFile, rm } from 'node:fs/promises';
import { join } from 'node:path';

import { describe, it } from '@filbertlatch/core/testing';

import { baselineNames } from '../src/baseline/index.js';
import { LeastOutstanding, RoundRobin } from '../src/baseline/endpointChooser.js';
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
  it('are valid and declare the classes and accounts of their loads', async (t) => {
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

  it('are rejected with an unknown field', (t) => {
    t.false(scenarioSchema.safeParse({ name: 'x', speed: 1 }).success);
  });
});

describe('nearestName', () => {
  it('returns the most similar name, long or short', (t) => {
    const names = ['demo', 'newsroom-burst', 'straggler'];
    t.is(nearestName('newsrom-bust', names), 'newsroom-burst');
    t.is(nearestName('dmo', names), 'demo');
  });
});

describe('checkTargets', () => {
  const figures = { a: 0.9, 'round-robin.a': 0.6, 'least-outstanding.a': 0.7, b: 0.5 };
  const table: [string, object, boolean | null][] = [
    ['a fixed bound that holds', { figure: 'a', bound: 'at-least', value: 0.9 }, true],
    ['a fixed bound that does not hold', { figure: 'a', bound: 'at-most', value: 0.89 }, false],
    [
      'a figure too little above the better baseline',
      { figure: 'a', bound: 'at-least', reference: 'best-baseline', plus: 0.21 },
      false,
    ],
    [
      'a figure below the highest of its references',
      { figure: 'b', bound: 'at-least', reference: ['a', 'b'] },
      false,
    ],
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

describe('the policies', () => {
  const createQueue = (inFlight: number) => ({ slots: 4, inFlight, waiting: [] });

  it('include baselines that choose endpoints in turn, or the one with the fewest requests', (t) => {
    const queues = [createQueue(3), createQueue(1), createQueue(2)];
    const inTurn = new RoundRobin();
    t.is(new Set([0, 1, 2].map(() => inTurn.choose(queues))).size, 3);
    t.is(new LeastOutstanding().choose(queues), queues[1]!);
  });

  for (const policy of ['filbertlatch', ...baselineNames] as const) {
    it(`answer every request of a scenario whole: ${policy}`, async (t) => {
      const run = await runScenario(await loadShort(), SEED, policy);
      const whole = run.samples.filter((sample) => sample.whole);
      t.is(whole.length, run.samples.length);
      // Without deadlines or faults, each caller gets exactly the tokens that it asked for.
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
  it('are written as three files, with a line for each class', async (t) => {
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

  it('show one point for each variant of a sweep', async (t) => {
    const directory = await mkdtemp(join(tmpdir(), 'filbertlatch-'));
    t.teardown(() => rm(directory, { recursive: true }));
    const scenario = await loadScenario('overload-sweep');
    t.true(isSweep(scenario));
    t.false(isSweep(await loadScenario('straggler')));
    const entries = scenario.variants.map((v) => [`${v.name}.goodPerSecond`, 30] as const);
    const lines = [{ name: 'filbertlatch', prefix: '' }];
    await plotSweep(scenario, Object.fromEntries(entries), lines, directory);
    const svg = await readFile(join(directory, 'overload-sweep.svg'), 'utf8');
    // A path of n points is a move followed by n - 1 lines.
    t.is(svg.match(/ d="(M[^"]*)"/)?.[1]?.split('L').length, scenario.variants.length);
  });
});
