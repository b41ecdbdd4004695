import { setTimeout as sleep } from 'node:timers/promises';

import {
  CONFIGURATION_KEY,
  createConfiguration,
  DESK,
  ENGINES,
  Fleet,
  formatAccount,
  Store,
} from '#standins';

import { Caller } from './caller.js';
import { Endpoint, LAPSE_MS } from './endpoint.js';
import type { PlayedAction, Evidence, LinkHarm, SentSignal } from './evidence.js';
import { findHarmedLinks } from './links/harmedLinks.js';
import { hostOfCaller, hostOfVm, network } from './links/hosts.js';
import { KeyRing } from './keyRing.js';
import { Links } from './links/links.js';
import { MemoryWatch } from './memoryWatch.js';
import { defaultSlots, type Options } from './options.js';
import {
  drawSchedule,
  formatAction,
  type ConfigurationChange,
  type Action,
  type ScheduledAction,
  type StoreFailure,
  type VmSignal,
} from './schedule.js';
import { Stress } from './stress/stress.js';
import { ACCOUNT, createRoutes, IDLE_TIMEOUT_MS, SHORT_TIMEOUT_MS, TIMEOUT_MS } from './traffic.js';

/** Time in which VMs get to know each other and the endpoints. */
const JOIN_MS = 1500;
const JOIN_MS_PER_VM = 60;

/** Time after which an endpoint that was killed is replaced. */
const REPLACEMENT_MS = 1500;

/** Time for which a new endpoint runs before the one that it replaces leaves. */
const OVERLAP_MS = 500;

/** Time of traffic before the schedule begins: processes that have just started are late themselves. */
const WARM_UP_MS_PER_VM = 250;

/** Time in which requests of callers that bring VMs to their limits end. */
const MAX_STRESS_MS = 2 * TIMEOUT_MS;

/** Time in which endpoints tell about the last requests. */
const SETTLE_MS = 500;

/** Time that each answer of the store takes while it is slow. */
const SLOW_STORE_MS = 800;

/** Time after which the operator publishes again what an older copy lacks. */
const REPUBLISH_MS = 1000;

/** Endpoints of the plain service with `mixed`, and requests that each of them runs at once. */
const DESK_ENDPOINTS = 3;
const DESK_SLOTS = 12;

type HarmAction = Extract<Action, { kind: 'harm' }>;

/** Begins a span of time; returns what ends it. */
function begin(spans: { from: number; to: number }[]): () => void {
  const span = { from: Date.now(), to: Infinity };
  spans.push(span);
  return () => {
    span.to = Date.now();
  };
}

/** The processes of one run, and what the soak does to them. */
class Play {
  readonly #store = new Store();

  readonly #fleet: Fleet;

  readonly #endpoints: Endpoint[] = [];

  readonly #signals: SentSignal[] = [];

  readonly #kills: { endpoint: string; at: number }[] = [];

  readonly #configurations: number[] = [];

  readonly #troubles: { from: number; to: number }[] = [];

  readonly #silences: { endpoint: string; from: number; to: number }[] = [];

  readonly #harms: LinkHarm[] = [];

  /** Null while no trouble with links is played. */
  readonly #links: Links | null;

  readonly #keyRing = new KeyRing();

  readonly #storeFailures: { from: number; to: number }[] = [];

  /** The store as it was before the latest change of the configuration. */
  #olderCopy: object | null = null;

  #isStoreFailing = false;

  readonly #played: PlayedAction[] = [];

  readonly #memory: MemoryWatch;

  readonly #stress: Stress;

  readonly #timers: NodeJS.Timeout[] = [];

  #callers: readonly Caller[] = [];

  #configuration = { version: 3, idleMs: IDLE_TIMEOUT_MS, timeoutMs: TIMEOUT_MS, extraRoutes: 0 };

  constructor(
    readonly options: Options,
    readonly seed: number,
    logDirectory: string,
  ) {
    const hasLinks = options.trouble.includes('links');
    this.#memory = new MemoryWatch(options.memoryBytes);
    this.#links = hasLinks ? new Links() : null;
    this.#fleet = new Fleet({
      root: options.program,
      logDirectory,
      network: hasLinks ? network : null,
    });
    this.#stress = new Stress({
      gateways: this.#fleet.gateways,
      signal: (vm, name) => this.#signal(vm, name),
      store: this.#store,
      listEndpoints: () => this.#endpoints.filter(({ isRunning }) => isRunning),
      beginTrouble: () => begin(this.#troubles),
      beginStoreFailure: () => begin(this.#storeFailures),
      tell: (text) => this.#played.push({ at: Date.now(), text }),
    });
  }

  async run(signal: AbortSignal): Promise<Evidence> {
    try {
      await this.#start();
      await sleep(JOIN_MS + JOIN_MS_PER_VM * this.options.vms, undefined, { signal });
      const warmUpMs = WARM_UP_MS_PER_VM * this.options.vms;
      const startedAt = Date.now() + warmUpMs;
      drawSchedule(this.seed, this.options).forEach((action) => {
        this.#timers.push(setTimeout(() => this.#act(action), warmUpMs + action.atMs));
      });
      const { trouble } = this.options;
      const until = startedAt + this.options.seconds * 1000;
      this.#callers = Array.from({ length: this.options.callers }, (_, index) => {
        const host = this.#links === null ? null : hostOfCaller(index);
        return new Caller(index, this.#fleet.gateways, {
          seed: this.seed,
          trouble,
          host,
          keyRing: this.#keyRing,
        });
      });
      await Promise.race([
        Promise.all(this.#callers.map((caller) => caller.run(until))),
        sleep(until - Date.now() + 3 * TIMEOUT_MS, undefined, { signal }).then(() => {
          throw new Error('callers do not come to an end');
        }),
        ...(this.#links === null ? [] : [this.#links.failure]),
      ]);
      await Promise.race([this.#stress.settle(), sleep(MAX_STRESS_MS, undefined, { signal })]);
      await sleep(SETTLE_MS, undefined, { signal });
      return this.#collect(startedAt);
    } finally {
      await this.#stop();
    }
  }

  async #start(): Promise<void> {
    await this.#store.start();
    await this.#links?.open(this.#store.address);
    this.#publish();
    const { endpoints, trouble } = this.options;
    const engines = Array.from({ length: endpoints }, () => this.#addEndpoint(1));
    const desks = Array.from({ length: trouble.includes('mixed') ? DESK_ENDPOINTS : 0 }, () =>
      this.#addEndpoint(1, DESK),
    );
    await Promise.all([...engines, ...desks]);
    await this.#fleet.start(this.options.vms, this.#store.address);
    this.#memory.start(this.#fleet.gateways);
    for (const [index, { listen }] of this.#fleet.gateways.entries()) {
      await this.#links?.open(listen.front);
      await this.#links?.open(listen.control, hostOfVm(index));
    }
  }

  async #addEndpoint(version: number, service = ENGINES): Promise<void> {
    const id = `i-${this.#endpoints.length + 1}`;
    const slots = service === DESK ? DESK_SLOTS : this.options.slots;
    const endpoint = new Endpoint(id, this.#store, service, slots, String(version));
    this.#endpoints.push(endpoint);
    await endpoint.start(this.#links);
  }

  #revoke(): void {
    this.#keyRing.rotate(Date.now());
    this.#republish();
  }

  /** Publishes the configuration once more, as a later version. */
  #republish(): void {
    this.#configuration.version += 2;
    this.#configurations.push(Date.now());
    this.#publish();
  }

  #publish(): void {
    this.#olderCopy = this.#store.copy();

    const { version, idleMs, timeoutMs, extraRoutes } = this.#configuration;
    const service = { ...ENGINES, engine: { ...ENGINES.engine, slots: this.options.slots } };
    const configuration = createConfiguration(
      createRoutes(timeoutMs, extraRoutes),
      [service, DESK],
      {
        version,
        tenants: [formatAccount(ACCOUNT.name, this.#keyRing.keys)],
      },
    );
    const limits = { ...configuration.limits, idle_timeout_ms: idleMs };
    this.#store.put(CONFIGURATION_KEY, { ...configuration, limits });
  }

  #act(action: ScheduledAction): void {
    this.#played.push({ at: Date.now(), text: formatAction(action) });
    if (action.kind === 'configure') this.#configure(action.change);
    else if (action.kind === 'signal') this.#signal(action.vm, action.signal);
    else if (action.kind === 'kill') this.#kill(action.pick);
    else if (action.kind === 'harm') this.#harm(action);
    else if (action.kind === 'revoke') this.#revoke();
    else if (action.kind === 'release') void this.#release();
    else if (action.kind === 'store') this.#failStore(action.failure, action.forMs);
    else if (action.kind === 'silence') {
      this.#silence(action.share, action.forMs, action.spared);
    } else this.#stress.act(action);
  }

  #configure(change: ConfigurationChange): void {
    const now = this.#configuration;
    const hasShort = now.timeoutMs === SHORT_TIMEOUT_MS;
    this.#configuration = {
      version: now.version + 2,
      idleMs: change === 'idle' ? 2 * IDLE_TIMEOUT_MS - 1000 - now.idleMs : now.idleMs,
      timeoutMs: change === 'timeout' && !hasShort ? SHORT_TIMEOUT_MS : TIMEOUT_MS,
      extraRoutes: now.extraRoutes + (change === 'route' ? 1 : 0),
    };
    this.#configurations.push(Date.now());
    this.#publish();
  }

  #signal(vm: number | null, signal: VmSignal): void {
    this.#addTrouble();
    this.#fleet.gateways.forEach((gateway, index) => {
      if (vm !== null && vm !== index) return;
      this.#signals.push({ vm: gateway.name, at: Date.now(), signal });
      gateway.kill(signal);
    });
  }

  #harm(action: HarmAction): void {
    const { links, direction, harm, forMs, pick } = action;
    const { patterns, vms, ends } = findHarmedLinks(action, {
      gateways: this.#fleet.gateways,
      storeAddress: this.#store.address,
      endpoint: this.#pickEndpoint(pick),
      callers: this.options.callers,
    });
    const from = Date.now();
    this.#links?.harm(patterns, harm, forMs);
    if (links !== 'store') this.#addTrouble(forMs);
    const what = `${JSON.stringify(harm)}, ${direction}, for ${forMs} ms`;
    const text = `links of ${ends.join(', ')}: ${what}`;
    this.#harms.push({ vms, from, to: from + forMs, isStoreOnly: links === 'store', text });
  }

  #pickEndpoint(pick: number): Endpoint | undefined {
    const running = this.#endpoints.filter(({ isRunning }) => isRunning);
    return running[Math.floor(pick * running.length)];
  }

  #silence(share: number, forMs: number, spared: number | null): void {
    const running = this.#endpoints.filter(({ isRunning }) => isRunning);
    const spare = spared === null ? undefined : this.#pickEndpoint(spared);
    const count = Math.round(share * running.length);
    const silent = running.filter((endpoint) => endpoint !== spare).slice(0, count);
    this.#addTrouble(forMs);
    const from = Date.now();
    silent.forEach((endpoint) => {
      endpoint.signal('SIGSTOP');
      this.#silences.push({ endpoint: endpoint.id, from, to: from + forMs });
    });
    this.#timers.push(
      setTimeout(() => silent.forEach((endpoint) => endpoint.signal('SIGCONT')), forMs),
    );
  }

  #kill(pick: number): void {
    const endpoint = this.#pickEndpoint(pick);
    if (endpoint === undefined) return;
    this.#addTrouble();
    this.#kills.push({ endpoint: endpoint.id, at: Date.now() });
    void endpoint.kill();
    const replace = () => {
      void this.#addEndpoint(Number(endpoint.version), endpoint.service);
    };
    this.#timers.push(setTimeout(replace, REPLACEMENT_MS));
  }

  #addTrouble(forMs = 0): void {
    this.#troubles.push({ from: Date.now(), to: Date.now() + forMs });
  }

  /** Replaces an endpoint of the oldest version by one of the next. */
  async #release(): Promise<void> {
    const running = this.#endpoints.filter(({ isRunning }) => isRunning);
    const [oldest] = [...running].sort((a, b) => Number(a.version) - Number(b.version));
    if (oldest === undefined) return;
    await this.#addEndpoint(Number(oldest.version) + 1, oldest.service);
    this.#timers.push(
      setTimeout(() => {
        if (oldest.isRunning) void oldest.leave();
      }, OVERLAP_MS),
    );
  }

  /** One failure after the other: the next one is left out while the store has not come back. */
  #failStore(failure: StoreFailure, forMs: number): void {
    if (this.#isStoreFailing) return;
    this.#isStoreFailing = true;
    const hasGone = failure === 'away' || failure === 'older';
    this.#storeFailures.push({ from: Date.now(), to: Date.now() + forMs });
    const copy = failure === 'older' ? this.#olderCopy : null;
    if (hasGone) this.#store.leave();
    else this.#store.setDelay(failure === 'slow' ? SLOW_STORE_MS : Infinity);
    const end = async () => {
      if (hasGone) await this.#store.comeBack(copy ?? this.#store.copy());
      else this.#store.setDelay(0);
      this.#isStoreFailing = false;
      if (copy !== null) this.#repairStore();
    };
    this.#timers.push(
      setTimeout(() => {
        void end();
      }, forMs),
    );
  }

  /** The operator publishes what the copy lacks, and what has gone since lapses. */
  #repairStore(): void {
    const from = Date.now();
    this.#storeFailures.push({ from, to: from + REPUBLISH_MS });
    this.#timers.push(
      setTimeout(() => this.#republish(), REPUBLISH_MS),
      setTimeout(() => {
        const gone = this.#endpoints.filter(({ isOver }) => isOver);
        gone.forEach(({ id }) => this.#store.remove(`servers/${id}`));
      }, LAPSE_MS),
    );
  }

  #collect(startedAt: number): Evidence {
    return {
      startedAt,
      requests: [...this.#callers.flatMap(({ requests }) => requests), ...this.#stress.requests],
      runs: this.#endpoints.flatMap(({ runs }) => runs),
      signals: this.#signals,
      ends: this.#fleet.gateways.flatMap(({ name, ends }) =>
        ends.map((end) => ({ vm: name, ...end })),
      ),
      kills: this.#kills,
      silences: this.#silences,
      harms: this.#harms,
      keys: this.#keyRing.terms,
      storeFailures: this.#storeFailures,
      troubles: this.#troubles,
      hasSparePlaces: this.options.slots >= defaultSlots(this.options),
      configurations: this.#configurations,
      memory: this.#memory.use,
      shortages: this.#stress.shortages,
      played: this.#played,
    };
  }

  async #stop(): Promise<void> {
    this.#timers.forEach((timer) => clearTimeout(timer));
    this.#memory.stop();
    this.#stress.stop();
    this.#links?.stop();
    await this.#fleet.stop();
    this.#endpoints.forEach((endpoint) => endpoint.stop());
    this.#store.stop();
  }
}

/** Plays one seed; the logs of the VMs go to a folder. Rejects when it is interrupted. */
export function playSeed(
  options: Options,
  seed: number,
  logDirectory: string,
  signal: AbortSignal,
): Promise<Evidence> {
  return new Play(options, seed, logDirectory).run(signal);
}
