import type { Configuration } from '@filbertlatch/core';
import { describe, it } from '@filbertlatch/core/testing';

import type { Dialect } from '../../src/gateway/index.js';
import {
  call,
  createRoute,
  createSource,
  startEndpoint,
  startGateway,
  testConfiguration,
  testDialect,
  waitUntil,
} from './fixtures.js';

/** A dialect in which every request is a generation, and which sends its priority. */
const engineDialect: Dialect = {
  ...testDialect,
  parseRequest: (headers) => ({
    ...testDialect.parseRequest(headers),
    size: { promptTokens: 100, outputTokens: 100, segments: [{ id: 's', tokens: 100 }] },
  }),
  formatRequest: (headers, forwarded) => [
    ...testDialect.formatRequest(headers, forwarded),
    ...['X-Priority', String(forwarded.priority)],
  ],
};

const priorities = [0, 1, 2];

const configuration: Configuration = {
  ...testConfiguration,
  routes: priorities.map((priority) =>
    createRoute({ id: `route-${priority}`, prefix: `/${priority}/`, priority }),
  ),
  services: new Map([
    [
      'desk',
      {
        id: 'desk',
        healthPath: '/health',
        maxConnections: 64,
        engine: { slots: 6, kvTokens: 100_000, tokensPerEvent: 1 },
      },
    ],
  ]),
  accounts: new Map(
    priorities.map((priority) => [`key-${priority}`, { id: `account-${priority}`, priority }]),
  ),
};

describe('the priority that an engine gets', () => {
  it('tells apart the routes of each account, so that it preempts the less urgent one', async (t) => {
    const endpoint = await startEndpoint('e1', (request, response) => {
      response.setHeader('x-request', 'request-1');
      response.setHeader('x-mac', 'mac');
      response.end('answer');
    });
    const source = createSource(configuration, [endpoint.endpoint]);
    const { gateway, callers, ready } = await startGateway(source, engineDialect);
    try {
      await waitUntil(async () => (await call(ready, '/')).status === 200);
      for (const account of priorities) {
        for (const route of priorities) {
          await call(callers, `/${route}/`, { headers: { 'x-key': `key-${account}` } });
        }
      }
      const sent = endpoint.requests.map(({ headers }) => Number(headers['x-priority']));
      t.is(new Set(sent).size, 9, sent.join());
      t.deepEqual(
        sent,
        [...sent].sort((a, b) => a - b),
      );
      t.true(sent.every((priority) => priority >= 0 && priority <= 9));
    } finally {
      gateway.stop();
      endpoint.close();
    }
  });
});
