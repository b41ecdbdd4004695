import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';

import { createFleet, loadScenario, OPERATOR_TOKEN, type Fleet } from '@filbertlatch/bench';
import { describe, it } from '@filbertlatch/core/testing';
import type { ExecutionContext } from 'ava';

import type { LoadFigures } from '../src/load/index.js';
import { createFolder, writeJson } from './createTable.js';
import { runCli } from './runCli.js';

const SEED = 31;

interface RunningFleet {
  readonly fleet: Fleet;
  readonly urls: readonly string[];
  readonly token: readonly string[];
}

async function startFleet(t: ExecutionContext): Promise<RunningFleet> {
  const scenario = await loadScenario('demo');
  const fleet = await createFleet({ ...scenario, routers: 2 }, SEED);
  t.teardown(() => fleet.stop());
  const path = join(await createFolder(t), 'token');
  await writeFile(path, `${OPERATOR_TOKEN}\n`);
  const urls = fleet.routers.map((router) => router.adminUrl);
  return { fleet, urls, token: ['--token-file', path] };
}

describe('the command line against a running fleet', () => {
  it('prints a part of the state, and suggests the nearest part for a misspelt one', async (t) => {
    const { urls, token } = await startFleet(t);
    const part = await runCli('state', urls[0]!, '--filter', 'table.revision', ...token);
    t.deepEqual(part, { code: 0, out: '1', err: '' });
    const wrong = await runCli('state', urls[0]!, '--filter', 'tabel', ...token);
    t.is(wrong.code, 2);
    t.regex(wrong.err, /did you mean "table"\?/);
  });

  it('reports with status that all VMs agree, a VM that was not asked and one that is down', async (t) => {
    const { fleet, urls, token } = await startFleet(t);
    const agreed = await runCli('status', ...urls, ...token);
    t.is(agreed.code, 0, agreed.out);
    t.regex(agreed.out, /All agree/);
    const partly = await runCli('status', urls[0]!, ...token);
    t.is(partly.code, 1);
    t.regex(partly.out, /vm-1 is in the list of VMs but was not asked/);
    await fleet.routers[1]!.stop();
    const silent = await runCli('status', ...urls, '--json', ...token);
    t.is(silent.code, 1);
    const { disagreements } = JSON.parse(silent.out) as { disagreements: string[] };
    t.regex(disagreements[0]!, /did not answer/);
  });

  it('sends load to a router, and fails to explain an unknown request', async (t) => {
    const { fleet, urls, token } = await startFleet(t);
    const scenario = await loadScenario('demo');
    const [first] = scenario.loads;
    const short = { ...scenario, seconds: 0.5, loads: [{ ...first, ratePerSecond: 20 }] };
    const path = await writeJson(t, short);
    const { callerUrl } = fleet.routers[0]!;
    const loaded = await runCli('load', callerUrl, path, '--seed', '3', '--json');
    t.is(loaded.code, 0);
    const { figures } = JSON.parse(loaded.out) as { figures: LoadFigures[] };
    const [{ requests, whole, errors }] = figures as [LoadFigures];
    t.true(requests > 0);
    // How many complete depends on the speed of the machine, but each request has one outcome.
    const failed = Object.values(errors).reduce((sum, count) => sum + count, 0);
    t.is(whole + failed, requests);
    t.is(fleet.routers[0]!.state().counters.requests, requests);
    const unknown = await runCli('explain', urls[0]!, 'r-none', ...token);
    t.is(unknown.code, 1);
    t.regex(unknown.err, /knows of no request/);
  });

  it('drains a VM only with the right token', async (t) => {
    const { fleet, urls, token } = await startFleet(t);
    const path = await writeJson(t, 'wrong-token-of-the-test');
    const refused = await runCli('drain', urls[0]!, '--token-file', path);
    t.is(refused.code, 1);
    t.regex(refused.err, /401 unknown token/);
    t.false(fleet.routers[0]!.state().leaving);
    t.is((await runCli('drain', urls[0]!, ...token)).code, 0);
    t.true(fleet.routers[0]!.state().leaving);
  });

  it('warns with diff of a limit below the summed use of all VMs given', async (t) => {
    const { fleet, urls, token } = await startFleet(t);
    const state = fleet.routers[0]!.state();
    const busy = state.classes.map((row) => ({ ...row, tokensPerSecond: 600 }));
    const dump = await writeJson(t, { ...state, classes: busy });
    const old = await writeJson(t, fleet.table);
    const classes = fleet.table.classes.map((row) =>
      row.id === 'bulletin' ? { ...row, tokensPerSecond: 1000 } : row,
    );
    const edited = await writeJson(t, { ...fleet.table, revision: 2, classes });
    const one = await runCli('diff', old, edited, '--state', dump);
    t.notRegex(one.out, /below the present use/);
    const both = await runCli('diff', old, edited, '--state', dump, '--state', dump);
    t.regex(both.out, /class bulletin allows 1000 tokens\/s, below the present use of 1200/);
    t.is((await runCli('diff', old, edited, '--state', urls[0]!, ...token)).code, 0);
  });
});
