import { once } from 'node:events';
import { Worker } from 'node:worker_threads';

import type { RegisteredEndpoint } from '@filbertlatch/core';

/** What an endpoint in a thread of its own does. */
export interface ThreadedBehaviour {
  /** How it answers requests: in whole, with a reset, or with a body without a length. */
  readonly answer: 'whole' | 'reset' | 'unframed';
  readonly answerDelayMs: number;
  readonly healthDelayMs: number;
  /** Endpoint id in its answers to health checks; its own by default. */
  readonly healthId?: string;
}

/** An endpoint that goes on while the loop of the test's thread, and of the VM in it, is blocked. */
export interface ThreadedEndpoint {
  readonly endpoint: RegisteredEndpoint;
  /** Paths of the requests that it has got, in their order. */
  readonly paths: readonly string[];
  close(): Promise<void>;
}

const DEFAULT_BEHAVIOUR: ThreadedBehaviour = {
  answer: 'whole',
  answerDelayMs: 0,
  healthDelayMs: 0,
};

/** Starts an endpoint in a thread. */
export async function startThreadedEndpoint(
  id: string,
  behaviour: Partial<ThreadedBehaviour> = {},
): Promise<ThreadedEndpoint> {
  const worker = new Worker(new URL('./endpointThread.js', import.meta.url), {
    workerData: { ...DEFAULT_BEHAVIOUR, ...behaviour, id },
  });
  const [{ port }] = (await once(worker, 'message')) as [{ port: number }];
  const paths: string[] = [];
  worker.on('message', ({ path }: { path: string }) => paths.push(path));
  return {
    paths,
    endpoint: {
      id,
      serviceId: 'desk',
      address: `127.0.0.1:${port}`,
      zone: 'zone-a',
      slots: 6,
      state: 'ready',
      startedAt: null,
      version: null,
    },
    close: async () => {
      await worker.terminate();
    },
  };
}

/** Blocks the loop of this thread, and so of the VM in it. */
export function blockLoop(ms: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}
