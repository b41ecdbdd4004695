import { setTimeout as sleep } from 'node:timers/promises';

import {
  createGateway,
  type Dialect,
  type Gateway,
  type PublicationSource,
} from '../../src/gateway/index.js';
import { findFreeAddress } from '../../src/testing/index.js';
import { call, testDialect, waitUntil } from './fixtures.js';

/** Name of the header that tells an endpoint which VM sent a request. */
export const VM_HEADER = 'x-vm';

function createVmDialect(vmId: string): Dialect {
  return {
    ...testDialect,
    formatRequest: (headers, forwarded) => [
      ...testDialect.formatRequest(headers, forwarded),
      ...[VM_HEADER, vmId],
    ],
  };
}

/** What VMs read their configuration and endpoints from. */
export interface VmStore {
  createSource(): PublicationSource;
}

/** A VM that can be restarted; a restarted one knows nothing. */
export class RestartableVm {
  readonly #id: string;

  readonly #listen: { callers: string; ready: string; control: string };

  readonly #seeds: readonly string[];

  readonly #store: VmStore;

  #gateway: Gateway | null = null;

  constructor(
    id: string,
    listen: { callers: string; ready: string; control: string },
    seeds: readonly string[],
    store: VmStore,
  ) {
    this.#id = id;
    this.#listen = listen;
    this.#seeds = seeds;
    this.#store = store;
  }

  /** Time of the latest start. */
  startedAt = 0;

  /** Time at which it last rejoined its peers. */
  disturbedAt = Number.NEGATIVE_INFINITY;

  isCutOff = false;

  /** True while it runs, so that the balancer sends connections to it. */
  get isRunning(): boolean {
    return this.#gateway !== null;
  }

  get id(): string {
    return this.#id;
  }

  get callers(): string {
    return this.#listen.callers;
  }

  get control(): string {
    return this.#listen.control;
  }

  async start(): Promise<void> {
    const settings = {
      vm: { id: this.#id, zone: 'zone-a' },
      listen: this.#listen,
      seeds: [...this.#seeds],
      platform: { address: '127.0.0.1:1' },
      graceSeconds: 3.5,
      repeats: { ratio: 0.2, slack: 500, windowSeconds: 10 },
      logLevel: 'error' as const,
    };
    this.startedAt = performance.now();
    const dialect = createVmDialect(this.#id);
    this.#gateway = await createGateway(settings, this.#store.createSource(), dialect);
    await waitUntil(async () => (await call(this.#listen.ready, '/')).status === 200);
  }

  async restart(): Promise<void> {
    this.stop();
    await sleep(100);
    await this.start();
  }

  /** Stops as planned. */
  async drain(): Promise<void> {
    await this.#gateway?.drain();
    this.#gateway = null;
  }

  stop(): void {
    this.#gateway?.stop();
    this.#gateway = null;
  }
}

/** Creates VMs that read a store, each its own view if there are several; they are not started yet. */
export async function createVms(
  vms: number,
  store: VmStore | readonly VmStore[],
): Promise<RestartableVm[]> {
  const listens = await Promise.all(
    Array.from({ length: vms }, async () => {
      const [callers, ready, control] = await Promise.all([
        findFreeAddress(),
        findFreeAddress(),
        findFreeAddress(),
      ]);
      return { callers, ready, control };
    }),
  );
  const seeds = listens.slice(0, 3).map(({ control }) => control);
  return listens.map((listen, index) => {
    const view = 'createSource' in store ? store : store[index]!;
    return new RestartableVm(`vm-${index}`, listen, seeds, view);
  });
}
