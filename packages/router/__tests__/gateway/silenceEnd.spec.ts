import { createRandom, getHealthPhase, recordFailure, recordPeerContact } from '@filbertlatch/core';
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
import { createTestMetrics } from './fixtures.js';

const settings = parseGatewaySettings({
  vm: { id: 'vm-1', zone: 'zone-a' },
  listen: { callers: '127.0.0.1:1', ready: '127.0.0.1:2', control: '127.0.0.1:3' },
  seeds: [],
  platform: { address: '127.0.0.1:4' },
  graceSeconds: 8,
  repeats: { ratio: 0.2, slack: 56, windowSeconds: 10 },
});

/** Endpoints that nothing may ask now, so that no check is sent. */
const terms = {
  limits: { timeToHealthCheck: () => 1000 },
  pauses: { leftMs: () => 1000 },
} as unknown as EndpointTerms;

const ENDPOINTS = ['e1', 'e2'];

class CountingTable extends ConnectionTable {
  readonly renewed: string[] = [];

  override renew(endpointId: string): void {
    this.renewed.push(endpointId);
  }
}

function createTask() {
  const state = createGatewayState(settings, createRandom(1));
  const registered = ENDPOINTS.map((id) => ({
    id,
    serviceId: 'desk',
    address: '127.0.0.1:5',
    zone: 'zone-a',
    slots: 6,
    state: 'ready' as const,
    startedAt: null,
    version: null,
  }));
  registered.forEach((endpoint) => state.directory.endpoints.set(endpoint.id, endpoint));
  const connections = new CountingTable(now);
  const log = new GatewayLog(createLogger({ silent: true }));
  const loopDelay = new LoopDelay();
  const contacts = new ContactTask(
    state,
    connections,
    terms,
    loopDelay,
    createTestMetrics(),
    log,
    () => {},
  );
  const failThrice = (id: string) => {
    for (let failures = 0; failures < 3; failures += 1) recordFailure(state.health, id, now());
  };
  /** Checks all endpoints, in vain; the checks begin a second later than those before. */
  const silence = (ageMs: number) =>
    registered.forEach((endpoint) => {
      const check = contacts.startCheck(endpoint);
      contacts.recordUnanswered(endpoint, { ...check, startedAt: now() - ageMs });
    });
  const tell = (contactAt: number) =>
    recordPeerContact(state.contacts, 'vm-2', {
      address: '127.0.0.1:6',
      zone: 'zone-a',
      heardAt: now(),
      takesTransits: true,
      openTransits: 0,
      configurationVersion: 1,
      lostServices: new Set(),
      contactAt: new Map([['desk', contactAt]]),
    });
  const phases = () => ENDPOINTS.map((id) => getHealthPhase(state.health, id));
  return { connections, contacts, failThrice, phases, registered, silence, tell };
}

describe('the end of a silence of all endpoints', () => {
  it('renews no connection and ends the ejections of the time', (t) => {
    const { connections, contacts, failThrice, phases, silence } = createTask();
    silence(1000);
    failThrice('e1');
    t.deepEqual(phases(), ['ejected', 'healthy']);
    contacts.recordAnswer('e2');
    t.deepEqual(phases(), ['healthy', 'healthy']);
    t.deepEqual(connections.renewed, []);
  });

  it('keeps the ejection of one that could not be reached', (t) => {
    const { contacts, failThrice, phases, registered, silence } = createTask();
    silence(1000);
    contacts.recordFailure(registered[0]!);
    failThrice('e1');
    contacts.recordAnswer('e2');
    t.deepEqual(phases(), ['ejected', 'healthy']);
  });

  it('renews connections when it was one of the links', async (t) => {
    const { connections, contacts, silence, tell } = createTask();
    silence(1000);
    tell(now() - 500);
    silence(200);
    t.true(contacts.isLost('desk'));
    await new Promise((resolve) => {
      setTimeout(resolve, 450);
    });
    tell(now());
    contacts.recordAnswer('e1');
    t.deepEqual(connections.renewed, ENDPOINTS);
  });
});
