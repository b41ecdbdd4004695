import { setTimeout as sleep } from 'node:timers/promises';

import {
  createCore,
  createRandom,
  isReady,
  tableRevision,
  type ActionOf,
  type AnswerCall,
  type ClaimSettings,
  type Vm,
} from '@filbertlatch/core';
import type { Logger } from 'winston';

import { createAdminApi, dumpState } from './admin/index.js';
import { createCallerApi, Exchanges, JoinTask, KeyedAnswers } from './callers/index.js';
import { now } from './clock.js';
import { createObservers, type Observers } from './createObservers.js';
import { Decider } from './decider/index.js';
import { EndpointTasks } from './endpoints/index.js';
import { listen, type Listener, type ListenOptions } from './listen.js';
import { createLog } from './log/index.js';
import { ControlTraffic } from './metrics/index.js';
import { openAll } from './openAddress.js';
import { OrderTask } from './orders/index.js';
import { PeerTask } from './peers/index.js';
import { PlatformTask } from './platform/index.js';
import { ReportTask } from './reports/index.js';
import { CredentialTask } from './security/index.js';
import type { Settings } from './settings/index.js';

/** Pause between checks whether a drain is complete. */
const DRAIN_POLL_INTERVAL_MS = 50;
const MS_PER_SECOND = 1000;

/** A running router, as a process that embeds the library uses it. */
export interface Router {
  readonly callerUrl: string;
  readonly adminUrl: string;
  readonly peerUrl: string;
  /** Dumps the state; it contains no prompt, API key or token. */
  state(): ReturnType<typeof dumpState>;
  /** Returns the revisions of the table and the list of VMs in force; -1 before the first. */
  revisions(): { readonly table: number; readonly list: number };
  /** Returns whether the router is ready for requests. */
  isReady(): boolean;
  /** Reads keys, tokens and certificates from their files again. */
  reloadCredentials(): Promise<void>;
  /**
   * Takes no new requests, finishes the open ones within the time of the settings and stops;
   * resolves when stopped. Later calls join the first.
   */
  drain(): Promise<void>;
  /** Stops at once and cuts off open requests. */
  stop(): Promise<void>;
}

/** The tasks of one router. */
interface Tasks {
  readonly decider: Decider;
  readonly exchanges: Exchanges;
  readonly endpoints: EndpointTasks;
  readonly platform: PlatformTask;
  readonly peers: PeerTask;
  readonly keyed: KeyedAnswers;
  readonly joins: JoinTask;
  readonly orders: OrderTask;
  readonly reports: ReportTask;
  readonly credentials: CredentialTask;
  readonly log: Logger;
  readonly observers: Observers;
}

function readClaimSettings({ claims }: Settings): ClaimSettings {
  return {
    witnesses: claims.witnesses,
    windowMs: claims.windowSeconds * MS_PER_SECOND,
    skewMs: claims.skewSeconds * MS_PER_SECOND,
    startWaitMs: claims.startWaitSeconds * MS_PER_SECOND,
  };
}

// Ends the exchange of a keyed request that was dropped before it ran, as its callers have left.
function refuseAbandoned(
  exchanges: Exchanges,
  { requestId, outcome }: ActionOf<'request-ended'>,
): void {
  if (outcome !== 'abandoned') return;
  exchanges.take(requestId)?.refuse({
    code: 'internal',
    message: 'The caller left.',
    verdict: 'not-run',
    retryable: true,
    retryAfterMs: null,
  });
}

async function createTasks(settings: Settings, self: Vm): Promise<Tasks> {
  const log = createLog(settings.vm.id, settings.logLevel);
  const credentials = await CredentialTask.create(settings, log);
  const started = now();
  const { weightsBytesPerSecond } = settings.platform;
  const claims = readClaimSettings(settings);
  const random = createRandom(settings.seed ?? Math.floor(started));
  const decider = new Decider(createCore(self, random, started, { weightsBytesPerSecond, claims }));
  const exchanges = new Exchanges();
  const traffic = new ControlTraffic();
  const { keptDecisions } = settings.admin;
  const keyed = new KeyedAnswers({
    maxBytes: settings.claims.keptAnswerBytes,
    maxAnswerBytes: Math.min(settings.callers.maxAnswerBytes, settings.claims.keptAnswerBytes),
    keepMs: claims.windowMs,
  });
  const findAnswer = (call: AnswerCall) => keyed.find(call);
  const peers = new PeerTask(() => credentials.current, decider, traffic, findAnswer);
  return {
    decider,
    exchanges,
    orders: new OrderTask(decider),
    reports: new ReportTask(decider),
    observers: createObservers(decider, traffic, keptDecisions, () => exchanges.size, log),
    endpoints: new EndpointTasks(decider, exchanges, settings.callers.maxAnswerBytes),
    platform: new PlatformTask(settings.platform, decider, traffic),
    peers,
    keyed,
    joins: new JoinTask(exchanges, peers, decider),
    credentials,
    log,
  };
}

function logChange(log: Logger, { level, code, fields }: ActionOf<'state-changed'>): void {
  log.log(level, code, fields);
}

/** Connects each kind of action to the task that carries it out. */
function connectTasks(tasks: Tasks): void {
  const { decider, exchanges, endpoints, platform, peers, orders, reports, log } = tasks;
  decider.on('dispatch', (action) => endpoints.dispatch(action));
  decider.on('cancel-attempt', ({ attemptId }) => endpoints.cancel(attemptId));
  decider.on('refuse', ({ requestId, refusal }) => exchanges.take(requestId)?.refuse(refusal));
  decider.on('join', (action) => {
    void tasks.joins.join(action);
  });
  decider.on('request-ended', (action) => refuseAbandoned(exchanges, action));
  decider.on('fetch-sheet', (action) => {
    void (action.peer === null ? platform.fetchSheet(action) : peers.fetch(action));
  });
  decider.on('fetch-manifest', (action) => {
    void (action.peer === null ? platform.fetchManifest() : peers.fetch(action));
  });
  decider.on('fetch-list', (action) => {
    void ((action.peer ?? null) === null ? platform.fetchList() : peers.fetch(action));
  });
  decider.on('restart-watches', () => platform.restart());
  decider.on('call-peer', (action) => {
    void peers.call(action);
  });
  decider.on('order', (action) => {
    void orders.issue(action);
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
  signal?: AbortSignal,
): Promise<{ callers: Listener; admin: Listener; peers: Listener }> {
  const { decider, exchanges, observers, credentials } = tasks;
  const tokens = {
    operator: () => credentials.current.operatorTokens,
    reader: () => credentials.current.readerTokens,
  };
  const { callerTls, adminTls, peerTls } = credentials.current;
  const callerApi = createCallerApi({ decider, exchanges, keyed: tasks.keyed, settings });
  const adminApi = createAdminApi({ decider, ...observers, tokens, beginDrain });
  const callerOptions = { tls: callerTls, limits: settings.callers };
  const peerOptions = { tls: peerTls, isMutual: true };
  const opened: Listener[] = [];
  const open = async (
    app: Parameters<typeof listen>[0],
    { host, port }: { readonly host: string; readonly port: number },
    options: ListenOptions,
  ) => {
    const report: ListenOptions['report'] = (event, fields) => tasks.log.warn(event, fields);
    const listener = await listen(app, host, port, { ...options, report });
    opened.push(listener);
    return listener;
  };
  const addresses = openAll(
    [
      (ended) => open(callerApi, settings.callers, { ...callerOptions, signal: ended }),
      (ended) => open(adminApi, settings.admin, { tls: adminTls, signal: ended }),
      (ended) => open(tasks.peers.api, settings.peers, { ...peerOptions, signal: ended }),
    ],
    signal,
  );
  const [callers, admin, peers] = (await addresses.catch(async (error: unknown) => {
    await Promise.all(opened.map((listener) => listener.close()));
    throw error;
  })) as [Listener, Listener, Listener];
  credentials.onChange((changed) => {
    if (changed.callerTls !== null) callers.setTls(changed.callerTls);
    if (changed.adminTls !== null) admin.setTls(changed.adminTls);
    if (changed.peerTls !== null) peers.setTls(changed.peerTls);
    tasks.peers.renewCredentials();
  });
  credentials.start();
  return { callers, admin, peers };
}

/**
 * Starts a router; resolves when its three addresses listen, which they do as soon as they are free.
 * Rejects when the credentials can't be read, an address can't be used or the signal ends the wait.
 */
export async function createRouter(settings: Settings, signal?: AbortSignal): Promise<Router> {
  const { host, port } = settings.peers;
  const scheme = settings.peers.tls === undefined ? 'http' : 'https';
  const self: Vm = { ...settings.vm, peerUrl: `${scheme}://${host}:${port}`, state: 'live' };
  const tasks = await createTasks(settings, self);
  const { decider, exchanges, endpoints, platform, peers, orders, reports } = tasks;
  connectTasks(tasks);
  let draining: Promise<void> | null = null;

  const stop = async () => {
    decider.stop();
    tasks.joins.stop();
    await Promise.all([platform.stop(), reports.stop()]);
    await Promise.all([peers.close(), endpoints.close(), orders.close()]);
    tasks.credentials.stop();
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- stopped after it opened
    await Promise.all(Object.values(listeners).map((listener) => listener.close()));
  };
  const graceMs = settings.drainGraceSeconds * MS_PER_SECOND;
  const finishAndStop = async () => {
    const startedAt = now();
    const latestAt = startedAt + settings.drainSeconds * MS_PER_SECOND;
    const isDone = () => exchanges.size === 0 && now() >= startedAt + graceMs;
    while (!isDone() && now() < latestAt) await sleep(DRAIN_POLL_INTERVAL_MS);
    decider.post({ kind: 'drain-timed-out' });
    await stop();
  };
  const drain = () => {
    if (draining === null) {
      decider.post({ kind: 'drain-began', graceMs });
      draining = finishAndStop();
    }
    return draining;
  };

  const beginDrain = () => {
    void drain();
  };
  const listeners = await openListeners(settings, tasks, beginDrain, signal);
  decider.start();
  platform.start();
  reports.start();
  return {
    callerUrl: listeners.callers.url,
    adminUrl: listeners.admin.url,
    peerUrl: listeners.peers.url,
    revisions: () => ({
      table: tableRevision(decider.core.table),
      list: decider.core.membership.list?.revision ?? -1,
    }),
    isReady: () => isReady(decider.core.membership),
    state: () => dumpState(decider.core, tasks.observers.attainment, now()),
    reloadCredentials: () => tasks.credentials.reload(),
    drain,
    stop,
  };
}
