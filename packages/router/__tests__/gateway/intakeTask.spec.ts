import { once } from 'node:events';
import { createServer, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { createRandom } from '@filbertlatch/core';
import { describe, itSerial } from '@filbertlatch/core/testing';

import { now } from '../../src/clock.js';
import type { AdmittedRequest } from '../../src/gateway/admitRequest.js';
import type { CallerConnections } from '../../src/gateway/callerConnections.js';
import { Drain } from '../../src/gateway/drain.js';
import { IntakeTask } from '../../src/gateway/intakeTask.js';
import { LoopDelay } from '../../src/gateway/loopDelay.js';
import { findFreeAddress } from '../../src/testing/index.js';

/** Shortest grace period whose drain ends after new requests are refused. */
const GRACE_MS = 3600;

/** A process that is late until it is told otherwise. */
class LateLoop extends LoopDelay {
  isLate = true;

  override get isBehind(): boolean {
    return this.isLate;
  }
}

/** Serves requests that wait in the backlog of a late process. */
async function playBacklog(leave: (response: ServerResponse, drain: Drain) => Promise<void>) {
  const loopDelay = new LateLoop();
  const callers = { acceptDelayMs: 0 } as CallerConnections;
  const intake = new IntakeTask(loopDelay, callers, createRandom(1));
  const drain = new Drain(GRACE_MS);
  const ends: string[] = [];
  const [host, port] = (await findFreeAddress()).split(':');
  const server = createServer((request, response) => {
    const admitted = {
      accountId: null,
      arrival: { earliestAt: now(), readAt: now() },
      deadlineAt: now() + 60_000,
      job: { priority: 0, targetMs: 30_000 },
    } as AdmittedRequest;
    drain.setEnd(response, () => response.writeHead(503).end());
    intake.accept(admitted, 0, response, {
      hasLeft: () => request.socket.destroyed,
      begin: () => ends.push('begun'),
      refuse: () => ends.push('refused'),
      forget: () => ends.push('forgotten'),
    });
    void leave(response, drain);
  });
  server.listen(Number(port), host);
  await once(server, 'listening');
  const { port: listening } = server.address() as AddressInfo;
  const status = await fetch(`http://127.0.0.1:${listening}/`).then(
    (answer) => answer.status,
    () => null,
  );
  await sleep(50);
  const waiting = intake.size;
  loopDelay.isLate = false;
  await sleep(50);
  server.close();
  server.closeAllConnections();
  return { status, ends, waiting };
}

describe('a request in the backlog', () => {
  itSerial('whose caller leaves is counted once, and never begins', async (t) => {
    const outcome = await playBacklog(async (response) => {
      await sleep(50);
      response.socket!.destroy();
    });
    t.deepEqual(outcome, { status: null, ends: ['forgotten'], waiting: 0 });
  });

  itSerial('gets a true answer when the drain ends, and never begins', async (t) => {
    const outcome = await playBacklog((_response, drain) =>
      drain.run({
        ...{ connectionCount: 0, isReading: false },
        ...{ stopListening: async () => {}, readArrived: async () => {} },
        ...{ endIdle: () => {}, endUnanswered: () => {} },
      }),
    );
    t.deepEqual(outcome, { status: 503, ends: [], waiting: 0 });
  });
});
