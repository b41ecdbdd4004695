import { setTimeout as sleep } from 'node:timers/promises';

import { createCore, createRandom, type ActionOf, type Vm } from '@filbertlatch/core';
import type { Logger } from 'winston';

import { createAdminApi, dumpState } from './admin/index.js';
import { createCallerApi, Exchanges } from './callers/index.js';
import { now } from './clock.js';
import { Decider } from './decider/index.js';
import { EndpointTasks } from './endpoints/index.js';
import { listen, type Listener } from './listen.js';
import { createLog } from './log/index.js';
import { OrderTask } from './orders/index.js';
import { PeerTask } from './peers/index.js';
import { PlatformTask } from './platform/index.js';
import { ReportTask } from './reports/index.js';
import type { Settings } from './settings/index.js';

const DRAIN_POLL_MS = 50;
const MS_PER_SECOND = 1000;

/** One running router: the library's whole surface for a process that embeds it. */
export interface Router {
  readonly callerUrl: string;
  readonly adminUrl: string;
  readonly peerUrl: string;
  /** Dumps the state; carries no prompt, key or token. */
  state(): ReturnType<typeof dumpState>;
  /** Takes no new work, finishes what runs, then stops; resolves when stopped. */
  drain(): Promise<void>;
  /** Stops at once and cuts what runs. */
  stop(): Promise<void>;
}

/** The tasks of one router. */
interface Tasks {
  readonly decider: Decider;
  readonly exchanges: Exchanges;
  readonly endpoints: EndpointTasks;
  readonly platform: PlatformTask;
  readonly peers: PeerTask;
  readonly reports: ReportTask;
  readonly orders: OrderTask;
  readonly log: Logger;
}

function createTasks(settings: Settings, self: Vm): Tasks {
  const started = now();
  const { weightsBytesPerSecond } = settings.platform;
  const random = createRandom(settings.seed ?? Math.floor(started));
  const decider = new Decider(createCore(self, random, started, { weightsBytesPerSecond }));
  const exchanges = new Exchanges();
  return {
    decider,
    exchanges,
    endpoints: new EndpointTasks(decider, exchanges),
    platform: new PlatformTask(settings.platform, decider),
    peers: new PeerTask(settings.peers.sharedKey, decider),
    reports: new ReportTask(decider),
    orders: new OrderTask(decider),
    log: createLog(settings.vm.id, settings.logLevel),
  };
}

function logChange(log: Logger, { level, code, fields }: ActionOf<'state-changed'>): void {
  log.log(level, code, fields);
}

/** Names the task that carries out each kind of action. */
function connectTasks(tasks: Tasks): void {
  const { decider, exchanges, endpoints, platform, peers, reports, orders, log } = tasks;
  decider.on('dispatch', (action) => endpoints.dispatch(action));
  decider.on('cancel-attempt', ({ attemptId }) => endpoints.cancel(attemptId));
  decider.on('refuse', ({ requestId, refusal }) => exchanges.take(requestId)?.refuse(refusal));
  decider.on('fetch-sheet', (action) => {
    void platform.fetchSheet(action);
  });
  decider.on('call-peer', (action) => {
    void peers.call(action);
  });
  decider.on('order', (action) => {
    void orders.give(action);
  });
  decider.on('reply-peer', (action) => peers.reply(action));
  decider.on('probe', ({ endpoint }) => {
    void reports.probe(endpoint);
  });
  decider.on('state-changed', (action) => logChange(log, action));
}

async function openListeners(
  settings: Settings,
  tasks: Tasks,
  beginDrain: () => void,
): Promise<{ callers: Listener; admin: Listener; peers: Listener }> {
  const { decider, exchanges } = tasks;
  const callerApi = createCallerApi({ decider, exchanges, settings });
  const adminApi = createAdminApi({ decider, settings: settings.admin, beginDrain });
  const [callers, admin, peers] = await Promise.all([
    listen(callerApi, settings.callers.host, settings.callers.port),
    listen(adminApi, settings.admin.host, settings.admin.port),
    listen(tasks.peers.api, settings.peers.host, settings.peers.port),
  ]);
  return { callers, admin, peers };
}

/** Starts a router; resolves when it listens. */
export async function createRouter(settings: Settings): Promise<Router> {
  const { host, port } = settings.peers;
  const self: Vm = { ...settings.vm, peerUrl: `http://${host}:${port}`, state: 'live' };
  const tasks = createTasks(settings, self);
  const { decider, exchanges, endpoints, platform, peers, reports, orders } = tasks;
  connectTasks(tasks);
  let draining: Promise<void> | null = null;

  const stop = async () => {
    decider.stop();
    await Promise.all([
      platform.stop(),
      peers.close(),
      reports.stop(),
      endpoints.close(),
      orders.close(),
    ]);
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- stopped after it opened
    await Promise.all(Object.values(listeners).map((listener) => listener.close()));
  };
  const finishAndStop = async () => {
    const latest = now() + settings.drainSeconds * MS_PER_SECOND;
    while (exchanges.size > 0 && now() < latest) await sleep(DRAIN_POLL_MS);
    await stop();
  };
  const drain = () => {
    if (draining === null) {
      decider.post({ kind: 'drain-began' });
      draining = finishAndStop();
    }
    return draining;
  };

  const listeners = await openListeners(settings, tasks, () => {
    void drain();
  });
  decider.start();
  platform.start();
  reports.start();
  return {
    callerUrl: listeners.callers.url,
    adminUrl: listeners.admin.url,
    peerUrl: listeners.peers.url,
    state: () => dumpState(decider.core, now()),
    drain,
    stop,
  };
}
