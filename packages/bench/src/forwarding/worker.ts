import { match } from 'ts-pattern';

import { startEngines } from './startEngines.js';
import type { WorkerReply, WorkerCommand } from './workerMessages.js';
import { readCoreWait } from './readCoreWait.js';
import { runStreams } from './runStreams.js';
import { startRouter } from './startRouter.js';

const US_PER_MS = 1000;

async function readUsage(): Promise<WorkerReply> {
  const { user, system } = process.cpuUsage();
  const cpuMs = (user + system) / US_PER_MS;
  const waitedMs = (await readCoreWait()) ?? 0;
  const rssBytes = process.memoryUsage.rss();
  return { kind: 'usage', cpuMs, rssBytes, waitedMs, atMs: performance.now() };
}

async function handleCommand(command: WorkerCommand): Promise<WorkerReply> {
  return match(command)
    .returnType<Promise<WorkerReply>>()
    .with({ kind: 'start-engines' }, async ({ group }) => {
      const engines = await startEngines(group);
      return { kind: 'engines-started', urls: engines.map((engine) => engine.url) };
    })
    .with({ kind: 'start-router' }, async ({ table }) => {
      const router = await startRouter(table);
      return { kind: 'router-started', callerUrl: router.callerUrl };
    })
    .with({ kind: 'run-streams' }, async ({ load }) => ({
      kind: 'streams-ran',
      result: await runStreams(load),
    }))
    .with({ kind: 'read-usage' }, readUsage)
    .exhaustive();
}

// Engines, router and streams must not outlive the process of the experiment.
function exitProcess(): void {
  // eslint-disable-next-line n/no-process-exit -- timers and sockets would keep it alive
  process.exit(0);
}

process.on('message', (command: WorkerCommand) => {
  handleCommand(command)
    .catch((error: unknown): WorkerReply => ({ kind: 'failed', message: String(error) }))
    .then((reply) => process.send?.(reply))
    .catch(exitProcess);
});
process.on('disconnect', exitProcess);
