import { describe, it } from '@filbertlatch/core/testing';
import type { ExecutionContext } from 'ava';
import { request } from 'undici';
import { v7 as createKey } from 'uuid';

import { createFleet, apiKeyOf, type Fleet } from '../src/index.js';
import { waitUntil } from './createTestRouter.js';
import { loadUnhurriedScenario } from './unhurriedScenario.js';

const SEED = 5;
const ROUTERS = 3;
const SERVICE_ANSWER_MS = 150;

interface Answer {
  readonly status: number;
  readonly text: string;
  readonly error: {
    readonly code: string;
    readonly run: string;
    readonly retryable: boolean;
  } | null;
}

async function withFleet(t: ExecutionContext, body: (fleet: Fleet) => Promise<void>) {
  const scenario = await loadUnhurriedScenario();
  const services = [{ name: 'stock', count: 2, slots: 16, answerMs: SERVICE_ANSWER_MS }];
  const fleet = await createFleet({ ...scenario, routers: ROUTERS, services }, SEED);
  t.teardown(() => fleet.stop());
  await body(fleet);
}

function parseError(text: string): Answer['error'] {
  try {
    return (JSON.parse(text) as { error?: Answer['error'] }).error ?? null;
  } catch {
    return null;
  }
}

async function post(
  fleet: Fleet,
  vm: number,
  path: string,
  key: string,
  body: string,
  signal?: AbortSignal,
): Promise<Answer> {
  const response = await request(`${fleet.entries[vm]!.url}${path}`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${apiKeyOf('dealer-cairo')}`,
      'filbertlatch-class': 'reservation-hold',
      'content-type': 'application/json',
      'idempotency-key': key,
    },
    body,
    ...(signal === undefined ? {} : { signal }),
  });
  const text = await response.body.text();
  return { status: response.statusCode, text, error: parseError(text) };
}

function sendHold(fleet: Fleet, vm: number, key: string, unit = 'unit-1', signal?: AbortSignal) {
  return post(fleet, vm, '/services/stock/holds', key, JSON.stringify({ unit }), signal);
}

function sendHeadline(fleet: Fleet, vm: number, key: string, model = 'desk') {
  const body = {
    model,
    stream: true,
    messages: [{ role: 'user', content: 'A headline, please.' }],
    standin: { tokens: 12 },
  };
  return post(fleet, vm, '/v1/chat/completions', key, JSON.stringify(body));
}

function countHolds(fleet: Fleet): number {
  return fleet.services.reduce((sum, service) => sum + service.runs.length, 0);
}

describe('a request with an idempotency key', () => {
  it('runs once when it is sent to every VM at the same time, and every resend gets its answer', (t) =>
    withFleet(t, async (fleet) => {
      const key = createKey();
      const answers = await Promise.all([0, 1, 2].map((vm) => sendHold(fleet, vm, key)));
      t.is(countHolds(fleet), 1);
      const whole = answers.filter(({ status }) => status === 200);
      t.true(whole.length >= 1);
      t.is(new Set(whole.map(({ text }) => text)).size, 1);
      answers
        .filter(({ status }) => status !== 200)
        .forEach(({ error }) => {
          t.is(error?.run, 'may-have-run');
          t.true(error?.retryable);
        });
      const again = await Promise.all([0, 1, 2].map((vm) => sendHold(fleet, vm, key)));
      t.deepEqual(
        again.map(({ text }) => text),
        [0, 1, 2].map(() => whole[0]!.text),
      );
      t.is(countHolds(fleet), 1);
    }));

  it('streams the running answer, token by token the same, to a resend at another VM', (t) =>
    withFleet(t, async (fleet) => {
      const key = createKey();
      const first = sendHeadline(fleet, 0, key);
      await waitUntil(() => fleet.engines.some((engine) => engine.runs.length > 0));
      const second = await sendHeadline(fleet, 1, key);
      const strip = (text: string) => text.replaceAll(/"id":"[^"]+"/g, '');
      t.is(strip(second.text), strip((await first).text));
      t.true(second.text.includes('[DONE]'));
      t.is(fleet.engines.flatMap((engine) => engine.runs).length, 1);
    }));

  it('is refused when its key was used for another model', (t) =>
    withFleet(t, async (fleet) => {
      const key = createKey();
      t.is((await sendHeadline(fleet, 0, key)).status, 200);
      const reused = await sendHeadline(fleet, 0, key, 'drafting');
      t.is(reused.status, 422);
      t.is(reused.error?.code, 'key_reused');
    }));

  it('is refused when its key was used with another body, on the same and on another VM', (t) =>
    withFleet(t, async (fleet) => {
      const key = createKey();
      t.is((await sendHold(fleet, 0, key)).status, 200);
      for (const vm of [0, 1]) {
        const reused = await sendHold(fleet, vm, key, 'unit-2');
        t.is(reused.status, 422);
        t.is(reused.error?.code, 'key_reused');
        t.is(reused.error?.run, 'not-run');
      }
      t.is(countHolds(fleet), 1);
    }));

  it('keeps its answer for a resend when its caller has left', (t) =>
    withFleet(t, async (fleet) => {
      const key = createKey();
      const stop = new AbortController();
      const left = sendHold(fleet, 0, key, 'unit-1', stop.signal).catch(() => null);
      await waitUntil(() => countHolds(fleet) === 1);
      stop.abort();
      await left;
      const answer = await sendHold(fleet, 2, key);
      t.is(answer.status, 200);
      t.is(countHolds(fleet), 1);
    }));

  it('is answered that it may have run when the VM that ran it has stopped', (t) =>
    withFleet(t, async (fleet) => {
      const key = createKey();
      const first = sendHold(fleet, 0, key).catch(() => null);
      await waitUntil(() => countHolds(fleet) === 1);
      await fleet.entries[0]!.stop();
      await first;
      const answer = await sendHold(fleet, 1, key);
      t.not(answer.status, 200);
      t.is(answer.error?.run, 'may-have-run');
      t.is(countHolds(fleet), 1);
    }));

  it('runs when one of three VMs that witness its claim is lost', (t) =>
    withFleet(t, async (fleet) => {
      await fleet.entries[2]!.stop();
      t.is((await sendHold(fleet, 0, createKey())).status, 200);
      t.is(countHolds(fleet), 1);
    }));

  it('does not run when two of three VMs that witness its claim are lost, and is answered that it may have run', (t) =>
    withFleet(t, async (fleet) => {
      await Promise.all([fleet.entries[1]!.stop(), fleet.entries[2]!.stop()]);
      const answer = await sendHold(fleet, 0, createKey());
      t.is(answer.error?.code, 'claim_unavailable');
      t.is(answer.error?.run, 'may-have-run');
      t.is(countHolds(fleet), 0);
    }));
});
