import { checkTable } from '@filbertlatch/core';
import { describe, it } from '@filbertlatch/core/testing';
import { parseSettings, SettingsError, type Router } from '@filbertlatch/router';
import { createEngine, createService } from '@filbertlatch/standins';
import type { ExecutionContext } from 'ava';
import fc from 'fast-check';
import { request } from 'undici';

import { createTestRouter, TEST_OPERATOR_TOKEN, waitUntil } from './createTestRouter.js';
import { createTestTable, API_KEY } from './createTestTable.js';

const SEED = 20_260_101;
const RUN_COUNT = 300;
const propertyOptions = { seed: SEED, numRuns: RUN_COUNT };

const knownStatuses = new Set([200, 400, 401, 403, 404, 409, 413, 422, 429, 502, 503]);
const verdicts = ['not-run', 'may-have-run', 'ran'];

const headerText = fc.stringMatching(/^[\x20-\x7e]{0,40}$/);

const bodies = fc.oneof(
  fc.string({ maxLength: 200 }),
  fc.json({ maxDepth: 4 }),
  fc
    .record(
      {
        model: fc.oneof(fc.constant('desk'), fc.json()),
        messages: fc.oneof(fc.constant([{ role: 'user', content: 'x' }]), fc.jsonValue()),
        prompt: fc.oneof(fc.constant('x'), fc.jsonValue()),
        stream: fc.oneof(fc.boolean(), fc.jsonValue()),
        max_tokens: fc.oneof(fc.integer({ min: 1, max: 3 }), fc.jsonValue()),
        n: fc.oneof(fc.constant(1), fc.jsonValue()),
      },
      { requiredKeys: [] },
    )
    .map((body) => JSON.stringify(body)),
  fc.constantFrom(
    '['.repeat(100_000),
    `{"model":"desk","messages":[${'['.repeat(5000)}${']'.repeat(5000)}]}`,
  ),
);

const callerRequests = fc.record({
  path: fc.constantFrom(
    '/v1/chat/completions',
    '/v1/completions',
    '/services/stock/holds',
    '/services/none/x',
    '/services/stock/%252e%252e/x',
    '/nowhere',
  ),
  method: fc.constantFrom('POST' as const, 'PUT' as const),
  authorization: fc.oneof(fc.constant(`Bearer ${API_KEY}`), headerText),
  className: fc.oneof(fc.constant('headline'), headerText),
  key: fc.oneof(fc.constant(undefined), headerText),
  timeout: fc.oneof(fc.constant(undefined), headerText),
  body: bodies,
});

type CallerRequest = typeof callerRequests extends fc.Arbitrary<infer C> ? C : never;

function createHeaders(call: CallerRequest): Record<string, string> {
  const headers: Record<string, string> = {
    authorization: call.authorization,
    'content-type': 'application/json',
    'filbertlatch-class': call.className,
    'x-request-id': 'chosen-by-the-caller',
  };
  if (call.key !== undefined) headers['idempotency-key'] = call.key;
  if (call.timeout !== undefined) headers['filbertlatch-timeout-ms'] = call.timeout;
  return headers;
}

async function createFuzzedRouter(t: ExecutionContext): Promise<Router> {
  const engine = await createEngine({
    id: 'e-1',
    models: ['desk'],
    slots: 8,
    stepMs: 1,
    prefillTokensPerSecond: 1_000_000,
    seed: SEED,
  });
  const service = await createService({ id: 's-1', name: 'stock', answerMs: 0 });
  t.teardown(() => Promise.all([engine.stop(), service.stop()]));
  return createTestRouter(t, createTestTable({ engine: engine.url, service: service.url }));
}

async function sendAndCheck(
  t: ExecutionContext,
  router: Router,
  call: CallerRequest,
): Promise<void> {
  const { path, method, body } = call;
  const url = `${router.callerUrl}${path}`;
  const response = await request(url, { method, headers: createHeaders(call), body });
  const text = await response.body.text();
  t.true(knownStatuses.has(response.statusCode), `${response.statusCode} ${text}`);
  t.not(response.headers['x-request-id'], 'chosen-by-the-caller');
  if (response.statusCode === 200) return;
  const { error } = JSON.parse(text) as { error: Record<string, unknown> };
  t.is(typeof error.code, 'string', text);
  t.true(typeof error.message === 'string' && error.message !== '', text);
  t.true(verdicts.includes(String(error.run)), text);
}

const NO_OPEN_REQUESTS = 0;

async function expectEveryRequestEnded(t: ExecutionContext, router: Router): Promise<void> {
  await waitUntil(() => router.state().openRequests === NO_OPEN_REQUESTS);
  const { counters } = router.state();
  const outcomes = ['complete', 'late', 'shed', 'refused', 'failed', 'abandoned'];
  const ended = outcomes.reduce((sum, name) => sum + (counters[`requests_${name}`] ?? 0), 0);
  t.is(ended, counters.requests ?? 0);
  t.true((counters.requests_complete ?? 0) > 0, 'some requests completed');
}

const settings = {
  vm: { id: 'vm-1', zone: 'z', region: 'r' },
  callers: { port: 0 },
  admin: { port: 0, operatorToken: TEST_OPERATOR_TOKEN },
  peers: { port: 0 },
  platform: { configurationUrl: 'http://127.0.0.1:1', listUrl: 'http://127.0.0.1:1' },
};

type JsonObject = Record<string, unknown>;

/** Replaces the value that the steps lead to; each step picks a key by its index. */
function replaceSomewhere(root: unknown, steps: readonly number[], value: unknown): unknown {
  const [step, ...rest] = steps;
  if (step === undefined || typeof root !== 'object' || root === null) return value;
  const keys = Object.keys(root);
  if (keys.length === 0) return value;
  const key = keys[step % keys.length]!;
  const changed = replaceSomewhere((root as JsonObject)[key], rest, value);
  if (Array.isArray(root)) return root.map((item, at) => (String(at) === key ? changed : item));
  return { ...root, [key]: changed };
}

function createDamagedArbitrary(document: unknown): fc.Arbitrary<unknown> {
  return fc
    .tuple(fc.array(fc.nat({ max: 20 }), { minLength: 1, maxLength: 4 }), fc.jsonValue())
    .map(([steps, value]) => replaceSomewhere(document, steps, value));
}

function isCompleteFaultList(
  faults: readonly { path: string; expected: string; found: string }[],
): boolean {
  return (
    faults.length > 0 && faults.every((f) => f.path !== '' && f.expected !== '' && f.found !== '')
  );
}

describe('random input', () => {
  it('to the caller API gets a documented status or error, and every request ends', async (t) => {
    const router = await createFuzzedRouter(t);
    await fc.assert(
      fc.asyncProperty(callerRequests, (call) => sendAndCheck(t, router, call)),
      propertyOptions,
    );
    await expectEveryRequestEnded(t, router);
  });

  it('to the peer API gets a JSON-RPC error and leaves the table in force', async (t) => {
    const router = await createFuzzedRouter(t);
    const method = fc.constantFrom('claim', 'release', 'sheet', 'lease', 'heartbeat', 'none');
    const texts = fc.oneof(
      fc.string({ maxLength: 200 }),
      fc.json({ maxDepth: 4 }),
      fc
        .record({ method, params: fc.dictionary(fc.string({ maxLength: 8 }), fc.jsonValue()) })
        .map((call) => JSON.stringify({ jsonrpc: '2.0', id: 1, ...call })),
    );
    const property = fc.asyncProperty(texts, async (body) => {
      const response = await request(`${router.peerUrl}/rpc`, { method: 'POST', body });
      const text = await response.body.text();
      t.true([200, 204].includes(response.statusCode), `${response.statusCode} ${text}`);
      if (response.statusCode === 204) return;
      const replies = [JSON.parse(text) as JsonObject].flat() as { error?: { code: number } }[];
      t.true(
        replies.every((reply) => typeof reply.error?.code === 'number'),
        text,
      );
    });
    await fc.assert(property, propertyOptions);
    t.is(router.state().table.revision, 1);
  });

  it('as a table is accepted whole or refused with faults that have a path, an expected and a found value', (t) => {
    const table = createTestTable({ engine: 'http://127.0.0.1:1', service: 'http://127.0.0.1:2' });
    const property = fc.property(
      fc.oneof(fc.jsonValue(), createDamagedArbitrary(table)),
      (value) => {
        const checked = checkTable(value);
        t.true(checked.ok || isCompleteFaultList(checked.faults), JSON.stringify(checked));
        t.true(
          !checked.ok || checkTable(checked.value).ok,
          'an accepted table is valid when it is checked again',
        );
      },
    );
    fc.assert(property, { ...propertyOptions, numRuns: RUN_COUNT * 10 });
  });

  it('as settings is accepted whole or refused with faults that have a path, an expected and a found value', (t) => {
    const property = fc.property(
      fc.oneof(fc.jsonValue(), createDamagedArbitrary(settings)),
      (value) => {
        try {
          t.deepEqual(parseSettings(parseSettings(value)), parseSettings(value));
        } catch (error) {
          t.true(
            error instanceof SettingsError && isCompleteFaultList(error.faults),
            String(error),
          );
        }
      },
    );
    fc.assert(property, { ...propertyOptions, numRuns: RUN_COUNT * 10 });
  });
});
