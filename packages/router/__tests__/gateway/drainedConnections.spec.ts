import { connect as openConnection } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { describe, itSerial as it } from '@filbertlatch/core/testing';
import type { ExecutionContext } from 'ava';

import { now } from '../../src/clock.js';
import { CallerConnections } from '../../src/gateway/callerConnections.js';
import { CallerServer } from '../../src/gateway/callerServer.js';
import type { GatewayContext } from '../../src/gateway/gatewayContext.js';
import { LoopDelay } from '../../src/gateway/loopDelay.js';
import { findFreeAddress } from '../../src/testing/index.js';
import {
  createSource,
  startEndpoint,
  startGateway,
  testConfiguration,
  testDialect,
  type TestGateway,
} from './fixtures.js';
import { KeptCaller } from './keptCaller.js';
import { blockLoop } from './threadedEndpoint.js';

/** More than the buffers of a connection hold. */
const LONG_ANSWER_BYTES = 16_000_000;

const GRACE_S = 7;

/** With this grace a drain ends its open requests 2.9 s after the signal. */
const SHORT_GRACE_S = 3.5;
const SHORT_END_MS = 2900;

/** Turns of a VM that is late: each accepts one connection. */
const TURN_MS = 15;

/** From here on a drain closes connections without a request. */
const CLOSING_MS = 2800;

/** Time from one caller's request to the next one's, at the end of a drain. */
const SPACING_MS = 5;

const BURST_INTERVAL_MS = 20;

/** Callers that connect at a time; the server accepts one a turn. */
const BURST_SIZE = 10;

/** At the end of a drain a request may cross the close of its connection: in the turn of that close. */
const MAX_CROSSED = 1;

/** Time from the end of the listening to the last requests: just before kept connections are closed. */
const LAST_REQUESTS_MS = 70;

interface Vm extends TestGateway {
  /** Ids of the requests that the endpoint got. */
  readonly runs: Set<string>;
}

/** A gateway with an endpoint that answers on /plain/ after `workMs`, and begins streams at once. */
async function startVm(
  t: ExecutionContext,
  workMs: number,
  answer = Buffer.from('answer'),
  graceS = GRACE_S,
): Promise<Vm> {
  const runs = new Set<string>();
  const endpoint = await startEndpoint('e0', (request, response) => {
    request.resume();
    const id = String(request.headers['x-request']);
    runs.add(id);
    const headers = { 'x-request': id, 'x-mac': 'mac' };
    if (request.url === '/safe/') {
      response.writeHead(200, headers).end('answer');
    } else if (request.url === '/stream/') {
      response.writeHead(200, { ...headers, 'content-type': 'text/event-stream' });
      response.write('id: 1\n\n');
      setTimeout(() => response.end('id: 2\n\n'), workMs);
    } else {
      setTimeout(() => response.writeHead(200, headers).end(answer), workMs);
    }
  });
  const source = createSource(testConfiguration, [endpoint.endpoint]);
  const vm = await startGateway(source, testDialect, graceS);
  t.teardown(() => {
    vm.gateway.stop();
    endpoint.close();
  });
  return { ...vm, runs };
}

async function connect(t: ExecutionContext, vm: Vm): Promise<KeptCaller> {
  const caller = await KeptCaller.connect(vm.callers);
  t.teardown(() => caller.close());
  return caller;
}

/** Opens a connection that has been used. */
async function connectKept(t: ExecutionContext, vm: Vm): Promise<KeptCaller> {
  const caller = await connect(t, vm);
  t.regex(await caller.call('/safe/'), /^HTTP\/1\.1 200 /);
  return caller;
}

/** Waits until the VM has stopped to listen. */
async function waitUntilRefused(t: ExecutionContext, vm: Vm): Promise<void> {
  const isRefused = async () => (await connect(t, vm).catch(() => null)) === null;
  while (!(await isRefused())) await sleep(2);
}

/** Makes each turn of the loop long, until an instant. */
function lengthenTurns(until: number): void {
  if (now() >= until) return;
  blockLoop(TURN_MS);
  setImmediate(lengthenTurns, until);
}

/** How a request of the end of a drain ended: `unsent` when its caller had seen the close before. */
type LastOutcome = 'answered' | 'unsent' | 'crossed' | 'reset' | 'run';

function classify(answer: string): LastOutcome {
  if (answer.startsWith('HTTP/1.1 ')) return 'answered';
  return answer === 'closed' ? 'crossed' : 'reset';
}

function count(outcomes: readonly LastOutcome[], outcome: LastOutcome): number {
  return outcomes.filter((found) => found === outcome).length;
}

describe('a drain', () => {
  it('does not cut an answer that its caller still reads', async (t) => {
    const vm = await startVm(t, 0, Buffer.alloc(LONG_ANSWER_BYTES, 'a'));
    const caller = await connect(t, vm);
    caller.pause();
    caller.send();
    await sleep(500);
    const drained = vm.gateway.drain();
    await sleep(CLOSING_MS + 600);
    caller.resume();
    t.regex(await caller.readAnswer(), /^HTTP\/1\.1 200 /);
    await drained;
  });

  it('answers on a kept connection after an answer that began before and did not say close', async (t) => {
    const vm = await startVm(t, 500);
    const caller = await connect(t, vm);
    caller.send('/stream/');
    await sleep(200);
    const drained = vm.gateway.drain();
    const answer = await caller.readAnswer();
    t.regex(answer, /^HTTP\/1\.1 200 /);
    t.notRegex(answer, /^connection: close/im);
    const next = await caller.call();
    t.regex(next, /^HTTP\/1\.1 200 /);
    t.regex(next, /^connection: close/im);
    await drained;
  });

  it('refuses what comes on a kept connection when it takes no more requests', async (t) => {
    const vm = await startVm(t, 4000);
    const [busy, idle] = await Promise.all([connectKept(t, vm), connectKept(t, vm)]);
    busy.send();
    await sleep(200);
    const drained = vm.gateway.drain();
    await sleep(CLOSING_MS + 500);
    const answer = await idle.call();
    t.regex(answer, /^HTTP\/1\.1 503 /);
    t.regex(answer, /^retry-after: /im);
    t.regex(answer, /^connection: close/im);
    t.regex(await busy.readAnswer(), /^HTTP\/1\.1 200 /);
    await drained;
  });

  it('answers what comes on kept connections until it closes them, and sends on nothing afterwards', async (t) => {
    const vm = await startVm(t, 0);
    const callers = await Promise.all(Array.from({ length: 160 }, () => connectKept(t, vm)));
    const drained = vm.gateway.drain();
    await sleep(CLOSING_MS - 200);
    const calls: Promise<LastOutcome>[] = [];
    const callOn = async (caller: KeptCaller, id: string): Promise<LastOutcome> => {
      const wasClosed = caller.end !== null;
      caller.send('/plain/', id);
      const answer = await caller.readAnswer();
      if (!wasClosed) return classify(answer);
      return vm.runs.has(id) ? 'run' : 'unsent';
    };
    // One a turn at most, however late this process is.
    for (const [index, caller] of callers.entries()) {
      calls.push(callOn(caller, `r${index}`));
      await sleep(SPACING_MS);
    }
    const outcomes = await Promise.all(calls);
    await drained;
    t.true(count(outcomes, 'unsent') > 0, 'the drain went on');
    t.is(count(outcomes, 'reset'), 0);
    t.is(count(outcomes, 'run'), 0);
    t.true(count(outcomes, 'crossed') <= MAX_CROSSED);
  });

  it('answers what has come on kept connections in a standstill before it closes them', async (t) => {
    const vm = await startVm(t, 0);
    const callers = await Promise.all(Array.from({ length: 8 }, () => connectKept(t, vm)));
    const drained = vm.gateway.drain();
    await sleep(CLOSING_MS - 200);
    await waitUntilRefused(t, vm);
    const calls = callers.map(async (caller): Promise<LastOutcome> => {
      await sleep(LAST_REQUESTS_MS);
      return caller.end === null ? classify(await caller.call()) : 'unsent';
    });
    await sleep(LAST_REQUESTS_MS - 10);
    setImmediate(blockLoop, 80);
    const outcomes = await Promise.all(calls);
    await drained;
    t.true(count(outcomes, 'answered') > 0, 'the requests came too late');
    t.is(count(outcomes, 'answered') + count(outcomes, 'unsent'), callers.length);
  });

  it('answers on each connection that was opened before it stopped to listen', async (t) => {
    const vm = await startVm(t, 0);
    const drained = vm.gateway.drain();
    await sleep(CLOSING_MS - 200);
    const calls: Promise<LastOutcome>[] = [];
    for (let burst = 0; burst < 160; burst += 1) {
      const connected = Array.from({ length: BURST_SIZE }, () => connect(t, vm).catch(() => null));
      const answers = connected.map(async (opened): Promise<LastOutcome> => {
        const caller = await opened;
        return caller === null ? 'unsent' : classify(await caller.call());
      });
      calls.push(...answers);
      // More than the server accepts meanwhile would wait beyond the grace.
      await Promise.all([...answers, sleep(BURST_INTERVAL_MS)]);
    }
    const outcomes = await Promise.all(calls);
    await drained;
    t.true(count(outcomes, 'unsent') > 0, 'the drain went on');
    t.true(count(outcomes, 'answered') > 0);
    t.is(count(outcomes, 'reset'), 0);
    t.is(count(outcomes, 'crossed'), 0);
  });
});

describe('a drain that the end of the grace period ends', () => {
  it('answers on each connection that waits to be accepted by a late VM', async (t) => {
    const vm = await startVm(t, 2 * SHORT_END_MS, undefined, SHORT_GRACE_S);
    const busy = await connect(t, vm);
    busy.send();
    await sleep(200);
    const drained = vm.gateway.drain();
    await sleep(SHORT_END_MS - TURN_MS);
    setImmediate(lengthenTurns, now() + 500);
    const calls = Array.from({ length: BURST_SIZE }, async () => {
      const caller = await connect(t, vm);
      return classify(await caller.call());
    });
    t.is(count(await Promise.all(calls), 'answered'), BURST_SIZE);
    t.regex(await busy.readAnswer(), /^HTTP\/1\.1 504 /);
    await drained;
  });
});

/** Opens connections after a standstill of 20 ms, and before another one; stops to listen meanwhile. */
async function stopLate(
  t: ExecutionContext,
  standstillMs: number,
  stop: (server: CallerServer) => Promise<void>,
): Promise<void> {
  const loopDelay = new LoopDelay();
  const callers = new CallerConnections(loopDelay);
  const server = new CallerServer({ loopDelay, callers } as unknown as GatewayContext);
  const address = await findFreeAddress();
  const [host, port] = address.split(':');
  await server.listen({ address, report: () => {} });
  const errors: Error[] = [];
  setTimeout(() => {
    Array.from({ length: BURST_SIZE }, () =>
      openConnection({ host, port: Number(port) }).on('error', (error) => errors.push(error)),
    );
    setImmediate(blockLoop, standstillMs);
  }, 1);
  setImmediate(blockLoop, 20);
  await stop(server);
  await sleep(50);
  t.deepEqual(errors, []);
  t.is(server.connectionCount, BURST_SIZE);
  server.close();
}

describe('a server that stops to listen', () => {
  it('accepts what has connected in a standstill of its process', (t) =>
    stopLate(t, 0, (server) => server.stopListening(now() + 1000)));

  it('accepts what has connected in a standstill longer than its time for that', (t) =>
    stopLate(t, 400, (server) => server.stopListening(now() + 1000, 200)));
});
