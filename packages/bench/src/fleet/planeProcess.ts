import { createRouter, parseSettings, type Router } from '@filbertlatch/router';

import { locationOf } from './buildFleetTable.js';
import type { PlaneCommand, PlaneProgress, PlaneReply, StartCommand } from './planeMessages.js';
import { SocketByteCounter } from './socketByteCounter.js';

const POLL_INTERVAL_MS = 100;
const MICROSECONDS_PER_MS = 1000;

const socketBytes = new SocketByteCounter();
const baseMemoryBytes = process.memoryUsage().rss;
const routers: Router[] = [];
const latestRevisions: number[] = [];
let pollTimer: NodeJS.Timeout | undefined;
const seen: { revision: number; at: number }[] = [];

function reply(message: PlaneReply): void {
  process.send?.(message);
}

function startRouter(index: number, command: StartCommand): Promise<Router> {
  const { platformUrl, readersPerZone, watchSeconds } = command;
  return createRouter(
    parseSettings({
      vm: { id: `vm-${index}`, ...locationOf(index, command.zones) },
      callers: { port: 0 },
      admin: { port: 0, operatorToken: 'operator-token-of-the-bench' },
      peers: { port: 0, sharedKey: 'shared-key-of-the-bench-fleet' },
      platform: {
        configurationUrl: platformUrl,
        listUrl: platformUrl,
        watchSeconds,
        ...(readersPerZone === null ? {} : { readersPerZone }),
      },
      logLevel: 'error',
      seed: index + 1,
    }),
  );
}

function recordNewRevisions(): void {
  routers.forEach((router, at) => {
    const { table } = router.revisions();
    if (table === (latestRevisions[at] ?? -1)) return;
    latestRevisions[at] = table;
    seen.push({ revision: table, at: Date.now() });
  });
}

async function startRouters(command: StartCommand): Promise<void> {
  socketBytes.start();
  routers.push(...(await Promise.all(command.indexes.map((i) => startRouter(i, command)))));
  pollTimer = setInterval(recordNewRevisions, POLL_INTERVAL_MS);
  const peers = command.indexes.map((index, at) => ({ index, peerUrl: routers[at]!.peerUrl }));
  reply({ kind: 'started', peers });
}

function replyWithUsage(): void {
  const { user, system } = process.cpuUsage();
  const cpuMs = (user + system) / MICROSECONDS_PER_MS;
  const memoryBytes = process.memoryUsage().rss;
  const use = {
    cpuMs,
    bytes: socketBytes.total(),
    memoryBytes,
    baseMemoryBytes,
    routers: routers.length,
  };
  reply({ kind: 'use', use });
}

function replyWithProgress(): void {
  const ready = routers.filter((router) => router.isReady()).length;
  const progress: PlaneProgress = { ready, seen };
  reply({ kind: 'progress', progress });
}

async function handleCommand(command: PlaneCommand): Promise<void> {
  if (command.kind === 'start') await startRouters(command);
  else if (command.kind === 'measure') replyWithUsage();
  else if (command.kind === 'progress') replyWithProgress();
  else {
    clearInterval(pollTimer);
    await Promise.all(routers.map((router) => router.stop()));
    process.disconnect();
  }
}

process.on('message', (command: PlaneCommand) => {
  handleCommand(command).catch((error: unknown) =>
    reply({ kind: 'failed', reason: String(error) }),
  );
});
// The process must not outlive its parent.
process.on('disconnect', () => {
  clearInterval(pollTimer);
  void Promise.all(routers.map((router) => router.stop()));
});
