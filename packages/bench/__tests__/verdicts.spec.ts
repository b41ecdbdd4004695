import { describe, it } from '@filbertlatch/core/testing';
import { createBrokenEngine, engineFaults, type EngineFault } from '@filbertlatch/standins';
import type { ExecutionContext } from 'ava';
import { request } from 'undici';

import { createTestRouter } from './createTestRouter.js';
import { createTestTable, API_KEY } from './createTestTable.js';

const PROMPT_CHARACTERS = 40_000;
const WHOLE_TEXT = ' w0 w1 w2 w3 w4 w5';

interface Outcome {
  readonly status: number;
  readonly text: string;
  readonly isWhole: boolean;
  readonly run: string | null;
  readonly retryable: boolean | null;
}

async function ask(callerUrl: string, streamed: boolean, repeatable: boolean): Promise<Outcome> {
  const response = await request(`${callerUrl}/v1/chat/completions`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${API_KEY}`,
      'content-type': 'application/json',
      'filbertlatch-repeatable': String(repeatable),
    },
    body: JSON.stringify({
      model: 'desk',
      stream: streamed,
      messages: [{ role: 'user', content: 'x'.repeat(PROMPT_CHARACTERS) }],
    }),
  });
  const body = await response.body.text();
  const error = body.match(/"run":"([\w-]+)","retryable":(true|false)/);
  const tokens = streamed
    ? [...body.matchAll(/"content":"( w\d+)"/g)].map((match) => match[1])
    : [body.match(/"content":"([^"]*)"/)?.[1] ?? ''];
  return {
    status: response.statusCode,
    text: tokens.join(''),
    isWhole: streamed ? body.includes('[DONE]') : response.statusCode === 200,
    run: error?.[1] ?? null,
    retryable: error === null ? null : error[2] === 'true',
  };
}

/** Expected verdict on a request that may run once only, and the attempts that began to compute. */
interface Expected {
  readonly run: 'may-have-run' | 'ran';
  readonly runs: number;
}

// A repeatable request always gets its whole answer from the second attempt. One that may run once
// only gets it after a refusal that says that it did not run.
const onceOnly: Record<EngineFault, Expected | 'whole'> = {
  'after-connect': { run: 'may-have-run', runs: 0 },
  'after-headers': { run: 'may-have-run', runs: 0 },
  'half-body': { run: 'may-have-run', runs: 0 },
  'status-500': { run: 'may-have-run', runs: 0 },
  'status-503': 'whole',
  'before-first-token': { run: 'may-have-run', runs: 1 },
  'mid-stream': { run: 'ran', runs: 1 },
  'last-event-lost': { run: 'ran', runs: 1 },
  'wrong-id': { run: 'may-have-run', runs: 1 },
  'malformed-event': { run: 'ran', runs: 1 },
  'error-event': { run: 'ran', runs: 1 },
  silence: { run: 'ran', runs: 1 },
};

async function startWithBrokenEngine(t: ExecutionContext, fault: EngineFault, broken = 1) {
  const engine = await createBrokenEngine(fault, broken);
  t.teardown(() => engine.stop());
  const router = await createTestRouter(t, createTestTable({ engine: engine.url }));
  return { engine, router };
}

describe('an attempt that breaks', () => {
  for (const fault of engineFaults) {
    describe(`by ${fault}`, () => {
      for (const streamed of [true, false]) {
        const kind = streamed ? 'streamed' : 'whole';

        it(`is retried without a doubled or lost token: ${kind}`, async (t) => {
          const { engine, router } = await startWithBrokenEngine(t, fault);
          const outcome = await ask(router.callerUrl, streamed, true);
          t.is(outcome.status, 200, JSON.stringify(outcome));
          t.is(outcome.text, WHOLE_TEXT);
          t.true(outcome.isWhole);
          t.is(engine.attempts.count, 2);
        });

        it(`is not retried when it may run once only: ${kind}`, async (t) => {
          const { engine, router } = await startWithBrokenEngine(t, fault);
          const outcome = await ask(router.callerUrl, streamed, false);
          const expected = onceOnly[fault];
          if (expected === 'whole') {
            t.is(outcome.text, WHOLE_TEXT);
            t.true(outcome.isWhole);
            t.is(engine.runs.length, 1);
            return;
          }
          t.false(outcome.isWhole);
          t.is(outcome.run, expected.run);
          t.false(outcome.retryable);
          t.is(engine.runs.length, expected.runs);
          t.is(engine.attempts.count, 1);
        });
      }
    });
  }

  it('gets the verdict not-run when there was no connection', async (t) => {
    const engine = await createBrokenEngine('status-500', 0);
    await engine.stop();
    const router = await createTestRouter(t, createTestTable({ engine: engine.url }));
    const outcome = await ask(router.callerUrl, true, false);
    t.is(outcome.run, 'not-run');
    t.true(outcome.retryable);
  });
});

describe('with an endpoint that always fails, the router', () => {
  it('makes fewer than 1.2 attempts per request', async (t) => {
    const REQUESTS = 300;
    const { engine, router } = await startWithBrokenEngine(t, 'status-500', Infinity);
    let left = REQUESTS;
    const caller = async () => {
      while (left > 0) {
        left -= 1;
        const outcome = await ask(router.callerUrl, false, true);
        t.false(outcome.isWhole);
      }
    };
    await Promise.all(Array.from({ length: 8 }, caller));
    t.true(engine.attempts.count < REQUESTS * 1.2, `${engine.attempts.count} attempts`);
  });
});
