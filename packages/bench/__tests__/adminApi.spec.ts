import { createHash } from 'node:crypto';
import { readFile } from 'node:fs/promises';

import { describe, it } from '@filbertlatch/core/testing';
import {
  accountsSchema,
  checkSchema,
  classesSchema,
  createOpenApi,
  endpointsSchema,
  membersSchema,
  requestSchema,
  stateSchema,
  tableInForceSchema,
} from '@filbertlatch/router';
import type { ExecutionContext } from 'ava';
import { request } from 'undici';
import type { z } from 'zod';

import { createFleet, apiKeyOf, OPERATOR_TOKEN, type Fleet } from '../src/index.js';
import { loadUnhurriedScenario } from './unhurriedScenario.js';

const SEED = 21;
const PROMPT = 'Cyclone Freddy nears Rodrigues';
const ACCOUNT = 'station-port-louis';

async function createSmallFleet(t: ExecutionContext): Promise<Fleet> {
  const scenario = await loadUnhurriedScenario();
  const fleet = await createFleet({ ...scenario, routers: 1 }, SEED);
  t.teardown(() => fleet.stop());
  return fleet;
}

async function callAdmin(fleet: Fleet, path: string, method: 'GET' | 'POST' = 'GET', body = '') {
  const response = await request(`${fleet.routers[0]!.adminUrl}${path}`, {
    method,
    headers: { authorization: `Bearer ${OPERATOR_TOKEN}`, 'content-type': 'application/json' },
    body: method === 'GET' ? null : body,
  });
  return { status: response.statusCode, text: await response.body.text() };
}

async function sendCompletion(fleet: Fleet): Promise<string> {
  const response = await request(`${fleet.routers[0]!.callerUrl}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${apiKeyOf(ACCOUNT)}`, 'content-type': 'application/json' },
    body: JSON.stringify({
      model: 'desk',
      messages: [{ role: 'user', content: PROMPT }],
      standin: { tokens: 3 },
    }),
  });
  await response.body.dump();
  return String(response.headers['x-request-id']);
}

const documentedQueries: readonly (readonly [string, z.ZodType])[] = [
  ['/admin/state', stateSchema],
  ['/admin/table', tableInForceSchema],
  ['/admin/table/accounts?limit=2', accountsSchema],
  ['/admin/classes', classesSchema],
  ['/admin/endpoints?pool=model:desk', endpointsSchema],
  ['/admin/members', membersSchema],
];

describe('the admin API', () => {
  documentedQueries.forEach(([path, schema]) => {
    it(`answers ${path} in its documented shape`, async (t) => {
      const fleet = await createSmallFleet(t);
      const { status, text } = await callAdmin(fleet, path);
      t.is(status, 200);
      t.true(schema.safeParse(JSON.parse(text)).success, text);
      t.true(Object.keys(createOpenApi().paths as object).includes(path.split('?')[0]!));
    });
  });

  it('explains the decisions about a request', async (t) => {
    const fleet = await createSmallFleet(t);
    const id = await sendCompletion(fleet);
    const { status, text } = await callAdmin(fleet, `/admin/requests/${id}`);
    t.is(status, 200);
    const record = requestSchema.parse(JSON.parse(text));
    const kinds = record.steps.map((step) => step.kind);
    t.deepEqual(kinds, ['dispatched', 'accepted', 'first-token', 'attempt-ended', 'ended']);
    t.regex(record.explanation[1]!, /sent to desk-\d/);
    t.is((await callAdmin(fleet, '/admin/requests/r-unknown')).status, 404);
  });

  it('shows goodput and latency by class after a request', async (t) => {
    const fleet = await createSmallFleet(t);
    await sendCompletion(fleet);
    const { classes } = classesSchema.parse(
      JSON.parse((await callAdmin(fleet, '/admin/classes')).text),
    );
    const own = classes.find((row) => row.id === 'cyclone-headline')!;
    t.is(own.requests, 1);
    t.is(own.goodput, 1);
    t.true(own.firstTokenMs.p50! > 0);
    const { text } = await callAdmin(fleet, '/metrics');
    t.regex(
      text,
      /filbertlatch_class_requests_total\{class="cyclone-headline",tier="critical"\} 1/,
    );
    t.regex(
      text,
      /filbertlatch_first_token_seconds\{class="cyclone-headline",quantile="0.95"\} \d/,
    );
  });

  it('discloses no prompt, API key, key digest or token', async (t) => {
    const fleet = await createSmallFleet(t);
    const id = await sendCompletion(fleet);
    const paths = [...documentedQueries.map(([path]) => path), `/admin/requests/${id}`, '/metrics'];
    const texts = await Promise.all(paths.map(async (path) => (await callAdmin(fleet, path)).text));
    const digests = fleet.table.accounts.map((account) => account.keyDigest);
    const secrets = [PROMPT, apiKeyOf(ACCOUNT), OPERATOR_TOKEN, 'shared-key', ...digests];
    texts.forEach((text, index) => {
      secrets.forEach((secret) => t.false(text.includes(secret), `${paths[index]}: ${secret}`));
    });
  });

  it('checks a table and reports the path of every fault', async (t) => {
    const fleet = await createSmallFleet(t);
    const good = await callAdmin(fleet, '/admin/table/check', 'POST', JSON.stringify(fleet.table));
    t.deepEqual(JSON.parse(good.text), { ok: true, faults: [] });
    const [first, ...rest] = fleet.table.classes;
    const bad = { ...fleet.table, classes: [{ ...first, share: 2, tier: 'top' }, ...rest] };
    const faulty = await callAdmin(fleet, '/admin/table/check', 'POST', JSON.stringify(bad));
    const { ok, faults } = checkSchema.parse(JSON.parse(faulty.text));
    t.false(ok);
    t.deepEqual(faults.map((fault) => fault.path).sort(), ['classes[0].share', 'classes[0].tier']);
    t.is((await callAdmin(fleet, '/admin/table/check', 'POST', '{')).status, 400);
  });

  it('exports every metric that docs/OPERATIONS.md names', async (t) => {
    const page = await readFile(new URL('../../../../docs/OPERATIONS.md', import.meta.url), 'utf8');
    const fleet = await createSmallFleet(t);
    const { text } = await callAdmin(fleet, '/metrics');
    const exported = new Set(
      text.match(/^# TYPE \w+/gm)!.map((line) => line.slice('# TYPE '.length)),
    );
    const documented = new Set(page.match(/\bfilbertlatch_\w+/g));
    t.true(documented.size > 10);
    documented.forEach((name) => t.true(exported.has(name), name));
  });

  it('counts refusals by code and verdict', async (t) => {
    const fleet = await createSmallFleet(t);
    const { adminUrl } = fleet.routers[0]!;
    const headers = { authorization: `Bearer ${OPERATOR_TOKEN}` };
    fleet.engines.forEach((engine) => {
      engine.switches.refuses = true;
    });
    await sendCompletion(fleet);
    const { body } = await request(`${adminUrl}/metrics`, { headers });
    t.regex(await body.text(), /filbertlatch_refusals_total\{code="\w+",verdict="not-run"\} 1/);
  });

  it('exports the same metrics at each scrape, without account names', async (t) => {
    const fleet = await createSmallFleet(t);
    await sendCompletion(fleet);
    const first = (await callAdmin(fleet, '/metrics')).text;
    const second = (await callAdmin(fleet, '/metrics')).text;
    const namesOf = (text: string) => text.match(/^# TYPE .+$/gm);
    t.deepEqual(namesOf(first), namesOf(second));
    t.regex(second, /filbertlatch_requests_total 1/);
    t.notRegex(second, /station-/);
  });

  it('serves a page without data whose content security policy allows only its own script and style', async (t) => {
    const fleet = await createSmallFleet(t);
    const { headers, body } = await request(`${fleet.routers[0]!.adminUrl}/`);
    const policy = String(headers['content-security-policy']);
    const text = await body.text();
    t.regex(policy, /default-src 'none'/);
    for (const element of ['script', 'style']) {
      const content = text.match(new RegExp(`<${element}>(.*)</${element}>`, 's'))![1]!;
      const digest = createHash('sha256').update(content).digest('base64');
      t.true(policy.includes(`${element}-src 'sha256-${digest}'`), element);
    }
    const [first] = fleet.table.classes;
    t.false(text.includes(first!.id), 'no figures without a token');
  });
});
