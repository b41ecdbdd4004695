import { setTimeout as sleep } from 'node:timers/promises';

import { createRandom, lostSince, silenceOf } from '@filbertlatch/core';
import { describe, it } from '@filbertlatch/core/testing';
import { createLogger } from 'winston';

import { now } from '../../src/clock.js';
import { ConnectionTable } from '../../src/gateway/connectionTable.js';
import { ContactTask } from '../../src/gateway/contactTask.js';
import type { EndpointTerms } from '../../src/gateway/endpointTerms.js';
import { GatewayLog } from '../../src/gateway/gatewayLog.js';
import { createGatewayState } from '../../src/gateway/gatewayState.js';
import { LoopDelay } from '../../src/gateway/loopDelay.js';
import { parseGatewaySettings } from '../../src/gateway/settings.js';
import { createTestMetrics, startEndpoint } from './fixtures.js';

/** Longer than a check takes that gets no answer. */
const CHECKED_MS = 600;

const settings = parseGatewaySettings({
  vm: { id: 'vm-1', zone: 'zone-a' },
  listen: { callers: '127.0.0.1:1', ready: '127.0.0.1:2', control: '127.0.0.1:3' },
  seeds: [],
  platform: { address: '127.0.0.1:4' },
  graceSeconds: 8,
  repeats: { ratio: 0.2, slack: 56, windowSeconds: 10 },
});

/** Three endpoints, of which the first answers until its limit is used up, and a VM that checks them. */
async function startService() {
  const endpoints = await Promise.all(
    ['e0', 'e1', 'e2'].map((id) =>
      startEndpoint(id, (_request, response) => {
        if (id === 'e0') response.end();
      }),
    ),
  );
  const state = createGatewayState(settings, createRandom(1));
  endpoints.forEach(({ endpoint }) => state.directory.endpoints.set(endpoint.id, endpoint));
  const sent: string[] = [];
  const terms = {
    limits: {
      hasLimit: (id: string) => id === 'e0',
      timeToHealthCheck: (id: string) => (id === 'e0' && sent.includes(id) ? 1000 : 0),
      recordSend: (id: string) => sent.push(id),
    },
    pauses: { leftMs: () => 0 },
  } as unknown as EndpointTerms;
  const loopDelay = new LoopDelay();
  loopDelay.stop();
  const connections = new ConnectionTable(now);
  const log = new GatewayLog(createLogger({ silent: true }));
  const metrics = createTestMetrics();
  const contacts = new ContactTask(
    ...([state, connections, terms, loopDelay, metrics, log, () => {}] as const),
  );
  return { endpoints, contacts, sent, state };
}

describe('a service of which two endpoints stand still', () => {
  it('is not silent when a third has answered since, whose limit is used up by its check', async (t) => {
    const { endpoints, contacts, sent, state } = await startService();
    endpoints.slice(1).forEach(({ endpoint }) => contacts.recordBroken(endpoint));
    await sleep(CHECKED_MS);
    endpoints.forEach((endpoint) => endpoint.close());
    t.true(sent.includes('e0'));
    t.is(silenceOf(state.contacts, 'desk'), null);
    t.is(lostSince(state.contacts, 'desk'), null);
  });

  it('is not silent when a third has answered since probes of the two began', async (t) => {
    const { endpoints, contacts, sent, state } = await startService();
    const probes = endpoints.slice(1).map(({ endpoint }) => ({
      endpoint,
      check: contacts.startCheck(endpoint),
    }));
    await sleep(50);
    sent.push('e0');
    contacts.recordAnswer('e0');
    probes.forEach(({ endpoint, check }) => contacts.recordUnanswered(endpoint, check));
    endpoints.forEach((endpoint) => endpoint.close());
    t.is(silenceOf(state.contacts, 'desk'), null);
  });
});
