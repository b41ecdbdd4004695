import { once } from 'node:events';
import { Worker } from 'node:worker_threads';

import type { Configuration, RegisteredEndpoint } from '@filbertlatch/core';

import type { GatewaySettings } from '../../src/gateway/settings.js';
import { findFreeAddress } from '../../src/testing/index.js';
import { call, waitUntil } from './fixtures.js';

/** Time that is taken from an event loop: `takenMs`, then `leftMs` to itself, until `forMs` are over. */
export interface Standstill {
  readonly takenMs: number;
  readonly leftMs: number;
  readonly forMs: number;
}

/** What the thread of a gateway is started with. */
export interface VmTerms {
  readonly settings: GatewaySettings;
  readonly configuration: Configuration;
  readonly endpoints: readonly RegisteredEndpoint[];
}

/** A gateway in a thread of its own, whose event loop stands still on demand. */
export class LateVm {
  readonly callers: string;

  readonly control: string;

  readonly #worker: Worker;

  private constructor(worker: Worker, { callers, control }: GatewaySettings['listen']) {
    this.#worker = worker;
    this.callers = callers;
    this.control = control;
  }

  /** Starts a gateway; resolves when it is ready. */
  static async start(
    id: string,
    configuration: Configuration,
    endpoints: readonly RegisteredEndpoint[],
    seeds: readonly string[] = [],
  ): Promise<LateVm> {
    const listen = {
      callers: await findFreeAddress(),
      ready: await findFreeAddress(),
      control: await findFreeAddress(),
    };
    const settings: GatewaySettings = {
      vm: { id, zone: 'zone-a' },
      listen,
      seeds: [...seeds],
      platform: { address: '127.0.0.1:1' },
      graceSeconds: 3.5,
      repeats: { ratio: 0.2, slack: 50, windowSeconds: 10 },
      logLevel: 'error',
    };
    const workerData: VmTerms = { settings, configuration, endpoints };
    const worker = new Worker(new URL('./lateWorker.js', import.meta.url), { workerData });
    await once(worker, 'message');
    await waitUntil(async () => (await call(listen.ready, '/')).status === 200);
    return new LateVm(worker, listen);
  }

  /** Takes time from the event loop; resolves at the end. */
  async standStill(standstill: Standstill): Promise<void> {
    this.#worker.postMessage(standstill);
    await once(this.#worker, 'message');
  }

  /** Stops the gateway and its thread. */
  async stop(): Promise<void> {
    this.#worker.postMessage('stop');
    await Promise.race([
      once(this.#worker, 'exit'),
      new Promise((resolve) => {
        setTimeout(resolve, 500);
      }),
    ]);
    await this.#worker.terminate();
  }
}
