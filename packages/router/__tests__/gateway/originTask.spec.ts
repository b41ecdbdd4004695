import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';

import { BEAT_INTERVAL_MS, createRandom, type RegisteredEndpoint } from '@filbertlatch/core';
import { describe, itSerial } from '@filbertlatch/core/testing';
import FakeTimers from '@sinonjs/fake-timers';

import { now } from '../../src/clock.js';
import { GatewayLog } from '../../src/gateway/gatewayLog.js';
import { createGatewayState, type GatewayState } from '../../src/gateway/gatewayState.js';
import { LoopDelay } from '../../src/gateway/loopDelay.js';
import { OriginTask, type OriginAnswer } from '../../src/gateway/originTask.js';
import type { PeerTask } from '../../src/gateway/peerTask.js';
import { parseGatewaySettings } from '../../src/gateway/settings.js';
import { createLog } from '../../src/log/index.js';
import { HistoryLostError } from '../../src/gateway/index.js';
import { createRoute, createSource, testConfiguration } from './fixtures.js';
import { blockLoop } from './threadedEndpoint.js';

const settings = parseGatewaySettings({
  vm: { id: 'vm-1', zone: 'zone-a' },
  listen: { callers: '127.0.0.1:1', ready: '127.0.0.1:2', control: '127.0.0.1:3' },
  seeds: [],
  platform: { address: '127.0.0.1:4' },
  graceSeconds: 8,
  repeats: { ratio: 0.2, slack: 56, windowSeconds: 10 },
});

const PEER_ADDRESS = '127.0.0.1:5';

/** Passes on what the task sends to a peer as the test says. */
class FakePeers {
  readonly address = '127.0.0.1:3';

  readonly hasStore = true;

  readonly sent: string[] = [];

  readonly #handlers = new Map<string, (params: unknown) => void>();

  readonly #answer: (key: string) => void;

  constructor(answer: (key: string) => void = () => {}) {
    this.#answer = answer;
  }

  onMessage(method: string, handle: (params: unknown) => void): void {
    this.#handlers.set(method, handle);
  }

  sendMessage(method: string, params: { key?: string }, addresses: readonly string[]): void {
    if (addresses.length === 0) return;
    this.sent.push(method);
    if (params.key !== undefined) this.#answer(params.key);
  }

  receive(method: string, params: unknown): void {
    this.#handlers.get(method)?.(params);
  }
}

async function withTask(
  peers: FakePeers,
  use: (task: OriginTask, state: GatewayState) => Promise<void>,
): Promise<void> {
  const state = createGatewayState(settings, createRandom(1));
  const loopDelay = new LoopDelay();
  const timer = setInterval(() => loopDelay.beat(), BEAT_INTERVAL_MS);
  const log = new GatewayLog(createLog('vm-1', 'error'));
  const source = createSource(null, []);
  const task = new OriginTask(state, peers as unknown as PeerTask, source, loopDelay, log);
  const versions = { configurationVersion: 1, directoryRevision: 1 };
  try {
    await sleep(2 * BEAT_INTERVAL_MS);
    state.peers.set('vm-2', { address: PEER_ADDRESS, heardAt: now(), hasStore: true, ...versions });
    await use(task, state);
  } finally {
    task.stop();
    clearInterval(timer);
  }
}

describe('a stream, when the process stands still,', () => {
  itSerial('is kept by peers that were heard before', async (t) => {
    const peers = new FakePeers();
    await withTask(peers, async (task) => {
      blockLoop(1800);
      task.record(null, 'request-1', { serviceId: 'desk', version: '1' });
      t.deepEqual(peers.sent, ['keepOrigins']);
    });
  });

  itSerial('goes on at the origin that a peer has told meanwhile', async (t) => {
    const receiver = createSocket('udp4');
    receiver.bind(0, '127.0.0.1');
    await once(receiver, 'listening');
    const sender = createSocket('udp4');
    sender.connect(receiver.address().port, '127.0.0.1');
    await once(sender, 'connect');
    let asked = 0;
    const peers = new FakePeers((key) => {
      asked += 1;
      // The first messages are lost.
      if (asked < 3) return;
      // After a poll and before timers.
      setImmediate(() => {
        sender.send(JSON.stringify({ origins: [[key, 'desk', '2']] }));
        blockLoop(150);
      });
    });
    receiver.on('message', (bytes) => peers.receive('keepOrigins', JSON.parse(bytes.toString())));
    try {
      await withTask(peers, async (task) => {
        const answer = await task.find(null, 'request-1', 'desk');
        t.is(answer.kind, 'known');
      });
    } finally {
      receiver.close();
      sender.close();
    }
  });
});

const ENDPOINT: RegisteredEndpoint = {
  ...{ id: 'e0', serviceId: 'desk', address: '127.0.0.1:6', zone: 'zone-a', slots: 6 },
  ...{ state: 'ready', startedAt: null, version: '2' },
};

/** Starts a VM whose store tells no history, and takes up a stream of before after some time. */
async function takeUpAfter(ms: number): Promise<OriginAnswer> {
  const clock = FakeTimers.install({
    toFake: ['setTimeout', 'clearTimeout', 'setImmediate', 'performance'],
  });
  try {
    const routes = [createRoute({ isResumable: true, timeoutMs: 5000 })];
    const state = createGatewayState(settings, createRandom(1));
    state.routing.configuration = { ...testConfiguration, routes };
    state.directory.endpoints.set(ENDPOINT.id, ENDPOINT);
    const loopDelay = new LoopDelay(() => 0);
    loopDelay.stop();
    const watch = () => Promise.reject(new HistoryLostError('gone'));
    const source = { ...createSource(null, [ENDPOINT]), watch };
    const log = new GatewayLog(createLog('vm-1', 'error'));
    const peers = new FakePeers() as unknown as PeerTask;
    const task = new OriginTask(state, peers, source, loopDelay, log);
    await task.readHistory(1);
    await clock.tickAsync(ms);
    const found = task.find(null, 'request-1', 'desk');
    await clock.tickAsync(200);
    task.stop();
    return await found;
  } finally {
    clock.uninstall();
  }
}

describe('a stream that began before all VMs were started anew, whose store tells no history,', () => {
  [3000, 5200, 59_000].forEach((ms) => {
    itSerial(`joins no other version when its caller comes after ${ms} ms`, async (t) => {
      t.deepEqual(await takeUpAfter(ms), { kind: 'unknown' });
    });
  });

  itSerial('goes on when none is taken up any more whose version is not known', async (t) => {
    const origin = { serviceId: 'desk', version: '2' };
    t.deepEqual(await takeUpAfter(60_100), { kind: 'known', origin });
  });
});

const ORIGIN = { serviceId: 'desk', version: '2' };

/** Runs a task of a VM that has just started and hears its first peer after 30 ms. */
async function withFirstPeer(
  peers: FakePeers,
  use: (task: OriginTask, tick: (ms: number) => Promise<number>) => Promise<void>,
): Promise<void> {
  const clock = FakeTimers.install({
    toFake: ['setTimeout', 'clearTimeout', 'setImmediate', 'performance'],
  });
  try {
    const state = createGatewayState(settings, createRandom(1));
    const loopDelay = new LoopDelay(() => 0);
    loopDelay.stop();
    const log = new GatewayLog(createLog('vm-1', 'error'));
    const source = createSource(null, []);
    const task = new OriginTask(state, peers as unknown as PeerTask, source, loopDelay, log);
    const versions = { configurationVersion: 1, directoryRevision: 1 };
    setTimeout(() => {
      state.peers.set('vm-2', {
        ...{ address: PEER_ADDRESS, heardAt: now(), hasStore: true, ...versions },
      });
    }, 30);
    await use(task, (ms) => clock.tickAsync(ms));
    task.stop();
  } finally {
    clock.uninstall();
  }
}

describe('a VM that has heard no peer yet', () => {
  itSerial('tells where its streams begin once it hears one', async (t) => {
    const peers = new FakePeers();
    await withFirstPeer(peers, async (task, tick) => {
      task.record(null, 'request-1', ORIGIN);
      await tick(100);
      t.deepEqual(peers.sent, ['keepOrigins']);
    });
  });

  itSerial('asks where a stream began once it hears one', async (t) => {
    const peers: FakePeers = new FakePeers((key) => {
      peers.receive('keepOrigins', { origins: [[key, 'desk', '2']] });
    });
    await withFirstPeer(peers, async (task, tick) => {
      const found = task.find(null, 'request-1', 'desk');
      await tick(200);
      t.is((await found).kind, 'known');
    });
  });
});

describe('a VM that is asked for the origins that another is to keep', () => {
  itSerial('tells them once a second at the most', async (t) => {
    const peers = new FakePeers();
    await withFirstPeer(peers, async (task, tick) => {
      await tick(100);
      task.record(null, 'request-1', ORIGIN);
      await tick(100);
      const tell = async () => {
        const before = peers.sent.length;
        peers.receive('handOrigins', { vmId: 'vm-2' });
        await tick(100);
        return peers.sent.length - before;
      };
      t.is(await tell(), 1);
      t.is(await tell(), 0);
      await tick(900);
      t.is(await tell(), 1);
    });
  });
});
