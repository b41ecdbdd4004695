// Checks of links spend the limits that endpoints name: those of all VMs at once exceed a small one.
import {
  createRandom,
  recordFailedContact,
  recordNamedLimit,
  type RegisteredEndpoint,
} from '@filbertlatch/core';
import { describe, it } from '@filbertlatch/core/testing';
import { createLogger } from 'winston';

import { now } from '../../src/clock.js';
import { DepartureRecorder } from '../../src/gateway/departureRecorder.js';
import { GatewayLog } from '../../src/gateway/gatewayLog.js';
import { createGatewayState } from '../../src/gateway/gatewayState.js';
import { LimitRecorder } from '../../src/gateway/limitRecorder.js';
import { LinkChecks } from '../../src/gateway/linkChecks.js';
import { LoopDelay } from '../../src/gateway/loopDelay.js';
import { PauseRecorder } from '../../src/gateway/pauseRecorder.js';
import { parseGatewaySettings } from '../../src/gateway/settings.js';
import { createTestMetrics, startEndpoint, type TestEndpoint } from './fixtures.js';

const VMS = 8;
const ROUNDS = 4;

const settings = parseGatewaySettings({
  vm: { id: 'vm-1', zone: 'zone-a' },
  listen: { callers: '127.0.0.1:1', ready: '127.0.0.1:2', control: '127.0.0.1:3' },
  seeds: [],
  platform: { address: '127.0.0.1:4' },
  graceSeconds: 8,
  repeats: { ratio: 0.2, slack: 56, windowSeconds: 10 },
});

function createChecks(
  seed: number,
  endpoints: readonly RegisteredEndpoint[],
  isLost: boolean,
  loopDelay: LoopDelay,
): LinkChecks {
  const state = createGatewayState(settings, createRandom(seed));
  const log = new GatewayLog(createLogger({ silent: true }));
  const metrics = createTestMetrics();
  endpoints.forEach((endpoint) => state.directory.endpoints.set(endpoint.id, endpoint));
  recordNamedLimit(state.requestLimits, { endpointId: 'e0', sentAt: now() }, 0.3, now());
  const report = { endpointId: 'e9', endpointCount: 1, unanswered: null };
  if (isLost) recordFailedContact(state.contacts, 'desk', report, now());
  const terms = {
    limits: new LimitRecorder(state, metrics, log),
    departures: new DepartureRecorder(state, log, () => {}),
    pauses: new PauseRecorder(state, log),
  };
  const observer = { checked: () => {} };
  return new LinkChecks(state, terms, loopDelay, metrics, log, observer);
}

/** Has all VMs check their links several times, some endpoints having ended; counts checks by endpoint. */
async function checkAll(ended: readonly string[], isLost: boolean) {
  const counts = new Map<string, number>();
  const endpoints: TestEndpoint[] = await Promise.all(
    ['e0', 'e1', 'e2'].map((id) =>
      startEndpoint(id, (_request, response) => {
        counts.set(id, (counts.get(id) ?? 0) + 1);
        response.end();
      }),
    ),
  );
  const registered = endpoints.map(({ endpoint }) => endpoint);
  endpoints.filter(({ endpoint }) => ended.includes(endpoint.id)).forEach((each) => each.close());
  // Without heartbeats no check is too late, however busy the machine is.
  const loopDelay = new LoopDelay();
  const vms = Array.from({ length: VMS }, (_, seed) =>
    createChecks(seed, registered, isLost, loopDelay),
  );
  for (let round = 0; round < ROUNDS; round += 1) {
    await Promise.all(vms.map((checks) => checks.check('desk')));
  }
  loopDelay.stop();
  endpoints.forEach((endpoint) => endpoint.close());
  return counts;
}

describe('the checks of links by all VMs', () => {
  Object.entries({ 'in doubt': false, lost: true }).forEach(([title, isLost]) => {
    describe(`to a service that is ${title}`, () => {
      it('do not use up the limit of an endpoint while another answers', async (t) => {
        for (const ended of [[], ['e1']]) {
          const counts = await checkAll(ended, isLost);
          t.is(counts.get('e0') ?? 0, 0);
          t.true((counts.get('e2') ?? 0) > 0);
        }
      });

      it('ask an endpoint with a limit when no other answers', async (t) => {
        const counts = await checkAll(['e1', 'e2'], isLost);
        t.is(counts.get('e0'), VMS);
      });
    });
  });
});
