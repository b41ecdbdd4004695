import { fork, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';

import { RUNNER_URL, type Service, type Store } from '#standins';

import type { Run } from './evidence.js';
import type { Links } from './links/links.js';
import type { EndlessPart } from './stress/draw.js';
import { answers } from './traffic.js';

/** Interval at which a registration is renewed. */
const HEARTBEAT_MS = 1200;

/** Time after which a registration lapses that is not renewed. */
export const LAPSE_MS = 3 * HEARTBEAT_MS;

/** Time for which an endpoint that leaves goes on with what it runs. */
const LEAVE_MS = 2200;

interface RunnerMessage {
  readonly kind: string;
  readonly at: number;
  readonly address?: string;
  readonly attemptId?: string;
  readonly event?: number;
  readonly isEndless?: boolean;
}

/** An endpoint in a process of its own, and its registration, renewed also while it is silent. */
export class Endpoint {
  readonly runs: Run[] = [];

  #openRuns = new Map<string, Run>();

  #process: ChildProcess | null = null;

  #timer: NodeJS.Timeout | null = null;

  #state: 'ready' | 'draining' = 'ready';

  #entry: Readonly<Record<string, string | number | undefined>> = {};

  #seq = 1;

  #address = '';

  #links: Links | null = null;

  readonly #store: Store;

  constructor(
    readonly id: string,
    store: Store,
    readonly service: Service,
    readonly slots: number,
    readonly version: string,
  ) {
    this.#store = store;
  }

  /** `IP:PORT` on which it listens. */
  get address(): string {
    return this.#address;
  }

  /** Whether it runs and does not leave. */
  get isRunning(): boolean {
    return this.#process !== null && this.#state === 'ready';
  }

  /** Whether it has ended for good. */
  get isOver(): boolean {
    return this.#process === null && this.#address !== '';
  }

  /** Starts and registers the process; with links its address is opened there first. */
  async start(links: Links | null): Promise<void> {
    this.#links = links;
    const { id, service, slots, version } = this;
    const isShedding = service.engine === undefined;
    const options = { id, slots, version, isShedding, healthPath: '/health', answers };
    this.#process = fork(RUNNER_URL, [JSON.stringify(options)]);
    const [{ address = '' }] = (await once(this.#process, 'message')) as [RunnerMessage];
    this.#process.on('message', (message) => this.#record(message as RunnerMessage));
    this.#address = address;
    await links?.open(address);
    this.#entry = {
      service: service.name,
      address,
      zone: 'hall',
      version,
      slots,
      cold_left_ms: 0,
      born: Date.now(),
    };
    let isWriting = false;
    this.#timer = setInterval(() => {
      if (isWriting) return;
      isWriting = true;
      void this.#write().then(() => {
        isWriting = false;
      });
    }, HEARTBEAT_MS);
    await this.#write();
  }

  async #write(): Promise<void> {
    this.#seq += 1;
    const entry = { ...this.#entry, state: this.#state, seq: this.#seq };
    await this.#store.write(`servers/${this.id}`, entry);
  }

  #record({ kind, at, attemptId, event, isEndless = false }: RunnerMessage): void {
    if (attemptId === undefined) return;
    const openRun = this.#openRuns.get(attemptId);
    if (kind === 'run') {
      const run: Run = {
        id: attemptId,
        endpoint: this.id,
        at,
        endedAt: null,
        events: null,
        isEndless,
      };
      this.runs.push(run);
      this.#openRuns.set(attemptId, run);
    } else if (kind === 'ended') {
      if (openRun !== undefined) openRun.endedAt = at;
      this.#openRuns.delete(attemptId);
    } else if (event !== undefined && openRun !== undefined) {
      openRun.events = { first: openRun.events?.first ?? event, last: event };
    }
  }

  /** Stops the process or lets it go on; all its connections stay open. */
  signal(signal: 'SIGSTOP' | 'SIGCONT'): void {
    this.#process?.kill(signal);
  }

  /** Answers without end in a part for a time, to health checks as well if `hasChecks`. */
  answerWithoutEnd(part: EndlessPart, forMs: number, hasChecks: boolean): void {
    this.#process?.send({ kind: 'endless', part, forMs, hasChecks });
  }

  /** Says that it leaves, to the store and in its answers, and ends some time after the store has it. */
  async leave(): Promise<void> {
    this.#state = 'draining';
    this.#process?.send({ kind: 'leave' });
    await this.#write();
    await sleep(LEAVE_MS);
    await this.#links?.close(this.#address);
    this.stop();
    this.#store.remove(`servers/${this.id}`);
  }

  /** Ends the process without a word; its registration lapses. */
  async kill(): Promise<void> {
    await this.#links?.close(this.#address);
    this.stop();
    setTimeout(() => this.#store.remove(`servers/${this.id}`), LAPSE_MS).unref();
  }

  /** Ends the process. */
  stop(): void {
    if (this.#timer !== null) clearInterval(this.#timer);
    this.#process?.kill('SIGKILL');
    this.#process = null;
  }
}
