import { describe, it } from '@filbertlatch/core/testing';
import type { ExecutionContext } from 'ava';
import OpenAI from 'openai';
import { request } from 'undici';

import { createFleet, apiKeyOf, type Fleet } from '../src/index.js';
import { waitUntil } from './createTestRouter.js';
import { loadUnhurriedScenario } from './unhurriedScenario.js';

const SEED = 11;
const ACCOUNT = 'station-port-louis';
const messages = [{ role: 'user' as const, content: 'A headline, please.' }];

async function withFleet(
  t: ExecutionContext,
  body: (fleet: Fleet) => Promise<void>,
  routers = 1,
): Promise<void> {
  const scenario = await loadUnhurriedScenario();
  const fleet = await createFleet({ ...scenario, routers }, SEED);
  t.teardown(() => fleet.stop());
  await body(fleet);
}

function createClient(fleet: Fleet, account = ACCOUNT): OpenAI {
  const baseURL = `${fleet.routers[0]!.callerUrl}/v1`;
  return new OpenAI({ baseURL, apiKey: apiKeyOf(account), maxRetries: 0 });
}

function standinOptions(tokens: number): object {
  return { standin: { tokens } };
}

describe('the path from a caller through the router to an endpoint', () => {
  describe('with the public openai client', () => {
    it('streams an answer token by token', (t) =>
      withFleet(t, async (fleet) => {
        const stream = await createClient(fleet).chat.completions.create({
          model: 'desk',
          messages,
          stream: true,
          ...standinOptions(5),
        });
        let text = '';
        let id = '';
        for await (const chunk of stream) {
          text += chunk.choices[0]?.delta.content ?? '';
          id = chunk.id;
        }
        t.is(text, ' w0 w1 w2 w3 w4');
        t.regex(id, /^r-vm-0-/);
      }));

    it('assembles an answer that is not streamed', (t) =>
      withFleet(t, async (fleet) => {
        const answer = await createClient(fleet).chat.completions.create({
          model: 'desk',
          messages,
          ...standinOptions(3),
        });
        t.is(answer.object, 'chat.completion');
        t.is(answer.choices[0]?.message.content, ' w0 w1 w2');
        t.is(answer.choices[0]?.message.role, 'assistant');
        t.is(answer.choices[0]?.finish_reason, 'stop');
        t.is(answer.usage?.completion_tokens, 3);
      }));

    it('serves plain completions', (t) =>
      withFleet(t, async (fleet) => {
        const answer = await createClient(fleet).completions.create({
          model: 'desk',
          prompt: 'once',
          ...standinOptions(2),
        });
        t.is(answer.choices[0]?.text, ' w0 w1');
      }));

    it('lists the models of the table', (t) =>
      withFleet(t, async (fleet) => {
        const models = await createClient(fleet).models.list();
        t.deepEqual(
          models.data.map((model) => model.id),
          ['drafting', 'desk'],
        );
      }));

    it('answers refusals with the errors of the OpenAI API and a verdict', (t) =>
      withFleet(t, async (fleet) => {
        const error = await t.throwsAsync<InstanceType<typeof OpenAI.AuthenticationError>>(
          createClient(fleet, 'nobody').chat.completions.create({ model: 'desk', messages }),
        );
        t.true(error instanceof OpenAI.AuthenticationError);
        t.is(error?.code, 'unknown_key');
        t.like(error?.error, { run: 'not-run', retryable: false });
        await t.throwsAsync(
          createClient(fleet).chat.completions.create({ model: 'no-such', messages }),
          { instanceOf: OpenAI.NotFoundError },
        );
      }));
  });

  describe('with a plain service', () => {
    it('forwards method, path and body, and returns the answer', (t) =>
      withFleet(t, async (fleet) => {
        const { body, statusCode } = await request(
          `${fleet.routers[0]!.callerUrl}/services/stock/holds/7?unit=3`,
          {
            method: 'POST',
            headers: { authorization: `Bearer ${apiKeyOf('dealer-cairo')}` },
            body: '{"unit":3}',
          },
        );
        t.is(statusCode, 200);
        t.like(await body.json(), { method: 'POST', path: '/holds/7', received: '{"unit":3}' });
        t.is(fleet.services.flatMap((service) => service.runs).length, 1);
      }));
  });

  describe('with a table edit', () => {
    it('changes the behaviour of every router without a restart', (t) =>
      withFleet(
        t,
        async (fleet) => {
          const { table } = fleet;
          const accounts = table.accounts.filter((account) => account.id !== ACCOUNT);
          fleet.platform.publishTable({ ...table, revision: 2, accounts });
          await waitUntil(() => fleet.routers.every((r) => r.state().table.revision === 2));
          for (const router of fleet.routers) {
            const { statusCode, body } = await request(`${router.callerUrl}/v1/chat/completions`, {
              method: 'POST',
              headers: { authorization: `Bearer ${apiKeyOf(ACCOUNT)}` },
              body: JSON.stringify({ model: 'desk', messages }),
            });
            await body.dump();
            t.is(statusCode, 401);
          }
        },
        3,
      ));

    it('refuses an invalid revision and keeps the last valid one', (t) =>
      withFleet(t, async (fleet) => {
        const classes = fleet.table.classes.map((row) => ({ ...row, share: 0.9 }));
        fleet.platform.publishTable({ ...fleet.table, revision: 2, classes });
        const router = fleet.routers[0]!;
        await waitUntil(() => router.state().table.refused !== null);
        t.is(router.state().table.revision, 1);
        t.is(router.state().table.refused?.revision, 2);
        const answer = await createClient(fleet).chat.completions.create({
          model: 'desk',
          messages,
          ...standinOptions(1),
        });
        t.is(answer.choices[0]?.message.content, ' w0');
      }));
  });

  describe('with a planned stop', () => {
    it('finishes the open stream and refuses later requests', (t) =>
      withFleet(t, async (fleet) => {
        const router = fleet.routers[0]!;
        const client = createClient(fleet);
        const stream = await client.chat.completions.create({
          model: 'desk',
          messages,
          stream: true,
          ...standinOptions(40),
        });
        const drained = router.drain();
        const late = await t.throwsAsync<InstanceType<typeof OpenAI.InternalServerError>>(
          client.chat.completions.create({ model: 'desk', messages }),
        );
        t.is(late?.status, 503);
        t.like(late?.error, { run: 'not-run', retryable: true });
        let tokens = 0;
        for await (const chunk of stream) if (chunk.choices[0]?.delta.content) tokens += 1;
        t.is(tokens, 40);
        await drained;
      }));
  });

  describe('with a caller that leaves', () => {
    it('stops the computation at the engine', (t) =>
      withFleet(t, async (fleet) => {
        const engines = fleet.engines.filter((engine) => engine.id.startsWith('desk-'));
        const running = () => engines.reduce((sum, e) => sum + e.queue.running.size, 0);
        const stream = await createClient(fleet).chat.completions.create({
          model: 'desk',
          messages,
          stream: true,
          ...standinOptions(100_000),
        });
        t.is(running(), 1);
        stream.controller.abort();
        await waitUntil(() => running() === 0);
        t.is(fleet.routers[0]!.state().counters.requests_abandoned, 1);
      }));
  });
});
