import { describe, itSerial } from '@filbertlatch/core/testing';

import { call, createSource, startGateway, testConfiguration, waitUntil } from './fixtures.js';
import { RepeatingEndpoint, type Repetition } from './repeatingEndpoint.js';

const REQUESTS = 120;
const PERIOD = 3;

const PROMISES = [408, 421, 429, 503];

const REFUSAL = '503 Service Unavailable\r\nx-not-run: 1';

/** What came of requests, each sent once. */
interface Outcome {
  readonly served: number;
  /** Told that they have not run although they have. */
  readonly untrue: number;
  readonly twice: number;
  /** Got an answer of another request. */
  readonly foreign: number;
  readonly statuses: Record<number, number>;
  /** Requests that an endpoint refused. */
  readonly refusals: number;
}

/** Sends requests one after the other to a gateway with two endpoints. */
async function runRequests(
  path: string,
  first: Repetition,
  second: Repetition = first,
): Promise<Outcome> {
  const endpoints = [first, second].map(
    (repetition, index) => new RepeatingEndpoint(`e${index}`, repetition),
  );
  const registered = await Promise.all(endpoints.map((endpoint) => endpoint.start()));
  const { gateway, callers, ready } = await startGateway(
    createSource(testConfiguration, registered),
  );
  await waitUntil(async () => (await call(ready, '/ready')).status === 200);
  const countRuns = (id: string) =>
    endpoints.reduce((sum, { runs }) => sum + (runs.get(id) ?? 0), 0);
  const outcome = { served: 0, untrue: 0, twice: 0, foreign: 0 };
  const statuses: Record<number, number> = {};
  for (let index = 0; index < REQUESTS; index += 1) {
    const id = `request-${index}`;
    const { status, headers, body } = await call(callers, path, { headers: { 'x-request': id } });
    const runs = countRuns(id);
    statuses[status] = (statuses[status] ?? 0) + 1;
    if (status === 200) outcome.served += 1;
    if ((status === 200 ? body : (headers['x-to'] ?? id)) !== id) outcome.foreign += 1;
    if (PROMISES.includes(status) && runs > 0) outcome.untrue += 1;
    if (runs > 1) outcome.twice += 1;
  }
  gateway.stop();
  endpoints.forEach((endpoint) => endpoint.stop());
  const refusals = endpoints.reduce((sum, endpoint) => sum + endpoint.refusals, 0);
  return { ...outcome, statuses, refusals };
}

describe('an answer written once more on a kept connection', () => {
  const heads = {
    'a refusal': REFUSAL,
    'an error': '500 Internal Server Error\r\nx-to: ID\r\nx-mac: mac-0',
    'a client error': '404 Not Found\r\nx-to: ID\r\nx-mac: mac-0',
  };
  for (const [title, head] of Object.entries(heads)) {
    for (const lacksId of [false, true]) {
      itSerial(
        `is not taken for the next one (${title} with${lacksId ? 'out' : ''} an id)`,
        async (t) => {
          const repetition = { period: PERIOD, head, lacksId, isRepeated: true };
          const once = await runRequests('/plain/', repetition);
          const { refusals } = once;
          t.log(once);
          t.true(refusals > 0);
          t.is(once.untrue, 0, 'told that they have not run');
          t.is(once.twice, 0, 'ran twice');
          const safe = await runRequests('/safe/', repetition);
          t.log(safe);
          t.is(safe.untrue, 0, 'told that they have not run');
          t.is(once.foreign + safe.foreign, 0, 'got the answer of another request');
        },
      );
    }
  }
});

describe('a refusal', () => {
  itSerial('with the id of its request is believed on a kept connection', async (t) => {
    const repetition = { period: PERIOD, head: REFUSAL, lacksId: false, isRepeated: false };
    const outcome = await runRequests('/plain/', repetition);
    t.log(outcome);
    t.true(outcome.refusals > 0);
    t.is(outcome.untrue + outcome.twice, 0);
    t.is(outcome.statuses[502] ?? 0, 0, 'not believed');
  });

  itSerial('without an id is believed on a new connection', async (t) => {
    const refusing = { period: 1, head: REFUSAL, lacksId: true, isRepeated: false };
    const sound = { ...refusing, period: REQUESTS + 1 };
    const outcome = await runRequests('/plain/', refusing, sound);
    t.log(outcome);
    t.true(outcome.refusals > 0);
    t.is(outcome.served, REQUESTS);
  });
});
