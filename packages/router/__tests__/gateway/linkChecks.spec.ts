// Checks of links spend the limits that endpoints name: those of all VMs at once exceed a small one.
import { setTimeout as sleep } from 'node:timers/promises';

import {
  createRandom,
  recordFailedContact,
  recordNamedLimit,
  silenceOf,
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

/** Time after which the heartbeats of a process are overdue. */
const OVERDUE_MS = 500;

const settings = parseGatewaySettings({
  vm: { id: 'vm-1', zone: 'zone-a' },
  listen: { callers: '127.0.0.1:1', ready: '127.0.0.1:2', control: '127.0.0.1:3' },
  seeds: [],
  platform: { address: '127.0.0.1:4' },
  graceSeconds: 8,
  repeats: { ratio: 0.2, slack: 56, windowSeconds: 10 },
});

/** A VM to which some endpoints have named a limit. */
function createVm(
  seed: number,
  endpoints: readonly RegisteredEndpoint[],
  limited: readonly string[],
  loopDelay: LoopDelay,
) {
  const state = createGatewayState(settings, createRandom(seed));
  const log = new GatewayLog(createLogger({ silent: true }));
  const metrics = createTestMetrics();
  endpoints.forEach((endpoint) => state.directory.endpoints.set(endpoint.id, endpoint));
  limited.forEach((endpointId) => {
    recordNamedLimit(state.requestLimits, { endpointId, sentAt: now() }, 0.3, now());
  });
  const terms = {
    limits: new LimitRecorder(state, metrics, log),
    departures: new DepartureRecorder(state, log, () => {}),
    pauses: new PauseRecorder(state, log),
  };
  /** Results of checks, in their order. */
  const results: string[] = [];
  const observer = {
    checked: ({ id }: RegisteredEndpoint, link: string) => {
      results.push(`${id} ${link}`);
    },
  };
  const checks = new LinkChecks(state, terms, loopDelay, metrics, log, observer);
  return { state, checks, results };
}

/** Starts endpoints; the silent ones take checks and answer none. */
async function startEndpoints(ids: readonly string[], silent: readonly string[] = []) {
  const counts = new Map<string, number>();
  const endpoints: TestEndpoint[] = await Promise.all(
    ids.map((id) =>
      startEndpoint(id, (_request, response) => {
        counts.set(id, (counts.get(id) ?? 0) + 1);
        if (!silent.includes(id)) response.end();
      }),
    ),
  );
  const close = () => endpoints.forEach((endpoint) => endpoint.close());
  return { counts, endpoints, registered: endpoints.map(({ endpoint }) => endpoint), close };
}

/** Once heartbeats are overdue no check is too late, however busy the machine is. */
async function createOverdueLoopDelay(): Promise<LoopDelay> {
  const loopDelay = new LoopDelay();
  await sleep(OVERDUE_MS);
  return loopDelay;
}

/** Time passes for checks again when heartbeats are no longer expected. */
function createStoppedLoopDelay(): LoopDelay {
  const loopDelay = new LoopDelay();
  loopDelay.stop();
  return loopDelay;
}

/** Has all VMs check their links several times, some endpoints having ended; counts checks by endpoint. */
async function checkAll(ended: readonly string[], isLost: boolean) {
  const { counts, endpoints, registered, close } = await startEndpoints(['e0', 'e1', 'e2']);
  endpoints.filter(({ endpoint }) => ended.includes(endpoint.id)).forEach((each) => each.close());
  const loopDelay = await createOverdueLoopDelay();
  const vms = Array.from({ length: VMS }, (_, seed) =>
    createVm(seed, registered, ['e0'], loopDelay),
  );
  const report = { endpointId: 'e9', endpointCount: 1, unanswered: null };
  if (isLost) {
    vms.forEach(({ state }) => recordFailedContact(state.contacts, 'desk', report, now()));
  }
  for (let round = 0; round < ROUNDS; round += 1) {
    await Promise.all(vms.map(({ checks }) => checks.check('desk')));
  }
  loopDelay.stop();
  close();
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

  it('ask few of those with a limit where the only other endpoint has ended', async (t) => {
    const limited = ['e0', 'e1', 'e2', 'e3', 'e4', 'e5'];
    const { counts, endpoints, registered, close } = await startEndpoints([...limited, 'e6']);
    endpoints.at(-1)!.close();
    const loopDelay = await createOverdueLoopDelay();
    const vms = Array.from({ length: VMS }, (_, seed) =>
      createVm(seed, registered, limited, loopDelay),
    );
    await Promise.all(vms.map(({ checks }) => checks.check('desk')));
    loopDelay.stop();
    close();
    const total = [...counts.values()].reduce((sum, count) => sum + count, 0);
    t.true(total <= 2 * VMS, `${total} checks`);
  });
});

describe('a check of links where endpoints stand still and one with a limit answers', () => {
  const ids = ['e0', 'e1', 'e2'];
  const still = ['e1', 'e2'];

  it('ends with that answer, before the others are found silent', async (t) => {
    const { registered, close } = await startEndpoints(ids, still);
    const { checks, results } = createVm(1, registered, ['e0'], createStoppedLoopDelay());
    await checks.check('desk');
    t.deepEqual(results, ['e0 answers']);
    close();
  });

  it('asks it though the service was silent before', async (t) => {
    const { counts, registered, close } = await startEndpoints(ids, still);
    const { state, checks } = createVm(1, registered, ['e0'], createStoppedLoopDelay());
    still.forEach((endpointId) => {
      const startedAt = now() - 500;
      const unanswered = { startedAt, peerContactAt: 0, heardAt: startedAt - 1000 };
      const report = { endpointId, endpointCount: still.length, unanswered };
      recordFailedContact(state.contacts, 'desk', report, now());
    });
    t.not(silenceOf(state.contacts, 'desk'), null);
    await checks.check('desk');
    t.is(counts.get('e0'), 1);
    close();
  });
});
