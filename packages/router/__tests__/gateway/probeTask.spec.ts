import { setTimeout as sleep } from 'node:timers/promises';

import { createRandom } from '@filbertlatch/core';
import { describe, it } from '@filbertlatch/core/testing';
import { createLogger } from 'winston';

import { now } from '../../src/clock.js';
import type { ConnectionTable } from '../../src/gateway/connectionTable.js';
import type { ContactTask } from '../../src/gateway/contactTask.js';
import type { CrashRecorder } from '../../src/gateway/crashRecorder.js';
import type { EndpointTerms } from '../../src/gateway/endpointTerms.js';
import { GatewayLog } from '../../src/gateway/gatewayLog.js';
import { createGatewayState } from '../../src/gateway/gatewayState.js';
import { LoopDelay } from '../../src/gateway/loopDelay.js';
import { ProbeTask } from '../../src/gateway/probeTask.js';
import { parseGatewaySettings } from '../../src/gateway/settings.js';
import { call, startEndpoint, testDialect, waitUntil } from './fixtures.js';
import { blockLoop } from './threadedEndpoint.js';
import { readMetric, withThreadedEndpoints } from './threadedVm.js';

describe('a health check that is answered while the process stands still', () => {
  it('does not make a crash of a broken connection', (t) =>
    withThreadedEndpoints(
      [{ answer: 'reset', healthDelayMs: 300 }, {}],
      async (vm, [resetting]) => {
        for (let sent = 0; !resetting!.paths.includes('/plain/'); sent += 1) {
          await call(vm.callers, '/plain/', { headers: { 'x-request': `request-${sent}` } });
        }
        await waitUntil(() => resetting!.paths.includes('/health'));
        blockLoop(1500);
        await sleep(500);
        t.is(await readMetric(vm, 'known_crashes'), 0);
      },
    ));
});

const settings = parseGatewaySettings({
  vm: { id: 'vm-1', zone: 'zone-a' },
  listen: { callers: '127.0.0.1:1', ready: '127.0.0.1:2', control: '127.0.0.1:3' },
  seeds: [],
  platform: { address: '127.0.0.1:4' },
  graceSeconds: 8,
  repeats: { ratio: 0.2, slack: 56, windowSeconds: 10 },
});

/** Checks an endpoint whose links are sound; `lastAliveAt` says when it sent bytes on other connections. */
function createProbes(lastAliveAt: () => number, ends: string[]) {
  const loopDelay = new LoopDelay();
  loopDelay.stop();
  const contacts = {
    onDoubt: () => {},
    startCheck: () => ({ startedAt: now() }),
    recordUnanswered: () => {},
    recordAnswer: () => {},
    hasLinks: () => Promise.resolve(true),
    hasEnded: () => Promise.resolve(true),
  } as unknown as ContactTask;
  const crashes = {
    recordEndpointAlive: () => {},
    recordEndpointHeard: () => {},
    recordEndpointEnd: (_id: string, sign: string) => ends.push(sign),
  } as unknown as CrashRecorder;
  const terms = {
    limits: { timeToHealthCheck: () => 0, recordSend: () => {}, recordHealthAnswer: () => {} },
    pauses: { leftMs: () => 0, recordAnswer: () => {} },
    departures: { recordHealthAnswer: () => {} },
  } as unknown as EndpointTerms;
  const connections = { lastAliveAt } as unknown as ConnectionTable;
  const log = new GatewayLog(createLogger({ silent: true }));
  const state = createGatewayState(settings, createRandom(1));
  const probes = new ProbeTask(
    ...([state, testDialect, connections, crashes, terms, contacts, loopDelay, log] as const),
  );
  return { probes, state };
}

describe('a full endpoint that resets a probe after one without an answer', () => {
  it('is asked twice before its silence counts as its end', async (t) => {
    let checks = 0;
    let aliveAt = 0;
    const { endpoint, close } = await startEndpoint('e1', (request, response) => {
      checks += 1;
      if (checks === 2) request.socket.resetAndDestroy();
      if (checks > 3) response.end();
    });
    const ends: string[] = [];
    const { probes, state } = createProbes(() => aliveAt, ends);
    state.directory.endpoints.set('e1', endpoint);
    probes.probe('e1');
    await waitUntil(() => checks === 2);
    // It answers requests meanwhile.
    const answers = setInterval(() => {
      aliveAt = now();
    }, 20);
    await sleep(500);
    clearInterval(answers);
    probes.probe('e1');
    await waitUntil(() => checks === 4);
    close();
    t.deepEqual(ends, []);
  });
});
