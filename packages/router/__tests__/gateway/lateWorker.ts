import { setTimeout as sleep } from 'node:timers/promises';
import { parentPort, workerData } from 'node:worker_threads';

import { createGateway } from '../../src/gateway/index.js';
import { createSource, testDialect } from './fixtures.js';
import type { Standstill, VmTerms } from './lateVm.js';

const port = parentPort!;

const { settings, configuration, endpoints } = workerData as VmTerms;

const neverNotified = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));

/** Blocks the event loop without use of the processor. */
function block(ms: number): void {
  Atomics.wait(neverNotified, 0, 0, ms);
}

async function standStill({ takenMs, leftMs, forMs }: Standstill): Promise<void> {
  const endsAt = performance.now() + forMs;
  do {
    block(takenMs);
    await sleep(leftMs);
  } while (performance.now() < endsAt);
  port.postMessage('ended');
}

const gateway = await createGateway(settings, createSource(configuration, endpoints), testDialect);

port.on('message', (order: Standstill | 'stop') => {
  if (order === 'stop') {
    gateway.stop();
    port.close();
  } else void standStill(order);
});
port.postMessage('started');
