import { setTimeout as sleep } from 'node:timers/promises';

import type { Gateway, Store } from '#standins';

import type { Endpoint } from '../endpoint.js';
import type { SeenRequest } from '../evidence.js';
import type { VmSignal } from '../schedule.js';
import { sendBodies } from './bodies.js';
import { HELD_STOP_MS, RESTART_MS, type StressAction, type StressKind } from './draw.js';
import { takePort } from './heldPort.js';
import { sendPipelines } from './pipeline.js';

const END_POLL_MS = 10;
const DUMP_INTERVAL_MS = 100;

/** What a stress needs of the play. */
export interface StressedPlay {
  readonly gateways: readonly Gateway[];
  readonly store: Store;
  listEndpoints(): readonly Endpoint[];
  signal(vm: number, signal: VmSignal): void;
  /** Begins a trouble; returns what ends it. */
  beginTrouble(): () => void;
  /** Begins a failure of the store; returns what ends it. */
  beginStoreFailure(): () => void;
  /** Says what was done later than its action began. */
  tell(text: string): void;
}

/** Brings VMs to their limits, and tells the play about it. */
export class Stress {
  readonly #over = new AbortController();

  /** Requests of the callers that bring VMs to their limits. */
  readonly requests: SeenRequest[] = [];

  /** Times in which VMs ran with few descriptors. */
  readonly shortages: { vm: string; from: number; to: number }[] = [];

  readonly #running = new Set<Promise<void>>();

  constructor(readonly play: StressedPlay) {}

  /** Begins an action. */
  act(action: StressAction): void {
    const isOfStore = action.kind === 'endless' && action.source === 'store';
    const end = isOfStore ? this.play.beginStoreFailure() : this.play.beginTrouble();
    const running = this.#run(action)
      .catch((error: Error) => {
        if (error.name !== 'AbortError') throw error;
      })
      .finally(() => {
        end();
        this.#running.delete(running);
      });
    this.#running.add(running);
  }

  /** Resolves when no action runs. */
  async settle(): Promise<void> {
    await Promise.all(this.#running);
  }

  stop(): void {
    this.#over.abort();
  }

  #run(action: StressAction): Promise<void> {
    switch (action.kind) {
      case 'held':
        return this.#hold(action);
      case 'descriptors':
        return this.#limitDescriptors(action);
      case 'endless':
        return this.#answerWithoutEnd(action);
      case 'pipeline':
        return this.#collect(action.kind, sendPipelines(this.#find(action.vm), action));
      case 'floods':
      case 'halves':
      case 'readers':
        return this.#collect(action.kind, sendBodies(this.#find(action.vm), action));
      default:
        return this.#leaveLog(action);
    }
  }

  async #collect(stress: StressKind, sending: Promise<SeenRequest[]>): Promise<void> {
    const requests = await sending;
    requests.forEach((request) => this.requests.push({ ...request, stress }));
  }

  #find(vm: number): Gateway {
    return this.play.gateways[vm] as Gateway;
  }

  #sleep(ms: number): Promise<void> {
    return sleep(ms, undefined, { signal: this.#over.signal });
  }

  async #hold({ vm, port, forMs, isStopped }: StressAction & { kind: 'held' }): Promise<void> {
    await this.#stopVm(vm);
    const free = await takePort(this.#find(vm), port);
    try {
      this.play.tell(`${port} of ${this.#find(vm).name} is held`);
      await this.#sleep(RESTART_MS + (isStopped ? HELD_STOP_MS : forMs));
      if (!isStopped) return;
      this.play.signal(vm, 'SIGTERM');
      await this.#sleep(forMs - HELD_STOP_MS);
    } finally {
      free();
    }
  }

  async #limitDescriptors({ vm, count, forMs }: StressAction & { kind: 'descriptors' }) {
    const gateway = this.#find(vm);
    const shortage = { vm: gateway.name, from: 0, to: Infinity };
    gateway.limitNextStart(count);
    try {
      await this.#stopVm(vm);
      this.shortages.push(shortage);
      shortage.from = Date.now();
      this.play.tell(`${gateway.name} starts with ${count} descriptors`);
      await this.#sleep(RESTART_MS + forMs);
    } finally {
      gateway.limitNextStart(null);
    }
    await this.#stopVm(vm);
    shortage.to = Date.now();
  }

  async #answerWithoutEnd(action: StressAction & { kind: 'endless' }): Promise<void> {
    const { source, part, share, pick, hasChecks, forMs } = action;
    if (source === 'store') {
      this.play.store.setEndless(part);
      await this.#sleep(forMs);
      this.play.store.setEndless(null);
      return;
    }
    const endpoints = this.play.listEndpoints();
    const first = Math.floor(pick * endpoints.length);
    const count = Math.max(1, Math.round(share * endpoints.length));
    Array.from(
      { length: count },
      (_, index) => endpoints[(first + index) % endpoints.length],
    ).forEach((endpoint) => endpoint?.answerWithoutEnd(part, forMs, hasChecks));
    await this.#sleep(forMs);
  }

  /** Stops a VM; resolves when its process has ended. */
  async #stopVm(vm: number): Promise<void> {
    const { ends } = this.#find(vm);
    const count = ends.length;
    this.play.signal(vm, 'SIGTERM');
    while (ends.length === count) await this.#sleep(END_POLL_MS);
  }

  /** Dumps of its state fill the log of a VM that nobody reads. */
  async #leaveLog({ vm, forMs }: StressAction & { kind: 'reader' }): Promise<void> {
    const log = this.#find(vm).leaveLog(forMs === null);
    if (forMs === null) return;
    const until = Date.now() + forMs;
    while (Date.now() < until) {
      log.dump();
      await this.#sleep(DUMP_INTERVAL_MS);
    }
    log.resume();
  }
}
