import { createRouter, parseSettings, type Router } from '@filbertlatch/router';

import { placeOf } from './buildFleetTable.js';
import type { PlaneCommand, PlaneProgress, PlaneReply, StartPlanes } from './planeMessages.js';
import { SocketBytes } from './socketBytes.js';

const LOOK_MS = 100;
const MICROSECONDS_PER_MS = 1000;

const bytes = new SocketBytes();
const baseMemory = process.memoryUsage().rss;
const routers: Router[] = [];
const revisions: number[] = [];
let looking: NodeJS.Timeout | undefined;
const seen: { revision: number; at: number }[] = [];

function reply(message: PlaneReply): void {
  process.send?.(message);
}

function startRouter(index: number, command: StartPlanes): Promise<Router> {
  const { platformUrl, readersPerZone, watchSeconds } = command;
  return createRouter(
    parseSettings({
      vm: { id: `vm-${index}`, ...placeOf(index, command.zones) },
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

function look(): void {
  routers.forEach((router, at) => {
    const { table } = router.revisions();
    if (table === (revisions[at] ?? -1)) return;
    revisions[at] = table;
    seen.push({ revision: table, at: Date.now() });
  });
}

async function start(command: StartPlanes): Promise<void> {
  bytes.start();
  routers.push(...(await Promise.all(command.indexes.map((i) => startRouter(i, command)))));
  looking = setInterval(look, LOOK_MS);
  const peers = command.indexes.map((index, at) => ({ index, peerUrl: routers[at]!.peerUrl }));
  reply({ kind: 'started', peers });
}

function measure(): void {
  const { user, system } = process.cpuUsage();
  const processorMs = (user + system) / MICROSECONDS_PER_MS;
  const memory = process.memoryUsage().rss;
  const use = { processorMs, bytes: bytes.total(), memory, baseMemory, routers: routers.length };
  reply({ kind: 'use', use });
}

function tellProgress(): void {
  const ready = routers.filter((router) => router.isReady()).length;
  const progress: PlaneProgress = { ready, seen };
  reply({ kind: 'progress', progress });
}

async function obey(command: PlaneCommand): Promise<void> {
  if (command.kind === 'start') await start(command);
  else if (command.kind === 'measure') measure();
  else if (command.kind === 'progress') tellProgress();
  else {
    clearInterval(looking);
    await Promise.all(routers.map((router) => router.stop()));
    process.disconnect();
  }
}

process.on('message', (command: PlaneCommand) => {
  obey(command).catch((error: unknown) => reply({ kind: 'failed', reason: String(error) }));
});
// The process must not outlive the one that started it.
process.on('disconnect', () => {
  clearInterval(looking);
  void Promise.all(routers.map((router) => router.stop()));
});
