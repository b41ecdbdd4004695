import { setTimeout as sleep } from 'node:timers/promises';

import { createRandom, randomInteger, type Random } from '@filbertlatch/core';
import { Agent } from 'undici';
import { v7 as createKey } from 'uuid';

import { createFleet, type Fleet } from '../createFleet.js';
import type { Experiment, ExperimentOptions, ExperimentResult } from '../experiments/experiment.js';
import { loadScenario } from '../loadScenario.js';
import { checkTargets, type Target } from '../targets.js';
import { auditFleet } from './auditFleet.js';
import { sendKeyedRequest, type KeyedRequest, type Sending } from './sendKeyedRequest.js';

const ROUTER_COUNT = 6;
const LOAD_SECONDS = 6;
const MS_PER_SECOND = 1000;
/** Time for the routers to reach one another before the load begins. */
const SETTLE_MS = 300;
/** Longest wait of a caller before it sends a request again. */
const MAX_RESEND_DELAY_MS = 100;
/** Maximum number of sendings of a request by one caller. */
const MAX_SENDINGS = 3;

/** Text that crashes an engine which receives it in a prompt; used by the `poison` experiment. */
export const POISON_TEXT = 'poison';

const ratePerSecondByKind = { hold: 40, headline: 15, bulletin: 10 } as const;

/** Targets of every fault experiment: no lost or mixed answers, no key run twice. */
const COMMON_TARGETS: readonly Target[] = ['doubled', 'crossed', 'cut', 'falseNotRun']
  .map((figure): Target => ({ figure, bound: 'at-most', value: 0, factor: 1, plus: 0 }))
  .concat([{ figure: 'mostRunsOfAKey', bound: 'at-most', value: 1, factor: 1, plus: 0 }]);

/** The faults of one experiment and how its callers behave. */
export interface FaultPlan {
  readonly name: string;
  readonly summary: string;
  /** Whether every caller sends its request twice without waiting for the first answer. */
  readonly resendsAll: boolean;
  /** Prompts sent besides the load, each again after a failure, as the load is. */
  readonly extraPrompts: readonly string[];
  /** Targets besides those of every fault experiment. */
  readonly targets: readonly Target[];
  /** Makes the faults happen; called when the load begins. */
  cause(fleet: Fleet): Promise<void>;
}

function drawRequest(kind: KeyedRequest['kind'], random: Random): KeyedRequest {
  const tokens =
    kind === 'bulletin' ? 30 + randomInteger(random, 30) : 10 + randomInteger(random, 10);
  const key = createKey();
  return { kind, key, tokens, prompt: `Draft ${key}.` };
}

/** Callers of one run: sends keyed requests and collects what came of each sending. */
class FaultRun {
  readonly requests: KeyedRequest[] = [];

  readonly sendings: Sending[] = [];

  readonly #dispatcher = new Agent({ connections: 1024, headersTimeout: 0, bodyTimeout: 0 });

  constructor(
    readonly fleet: Fleet,
    readonly plan: FaultPlan,
    readonly random: Random,
  ) {}

  async send(keyedRequest: KeyedRequest): Promise<void> {
    this.requests.push(keyedRequest);
    if (this.plan.resendsAll) {
      const first = this.#sendTo(keyedRequest, this.#drawEntryUrl());
      await sleep(this.random.next() * MAX_RESEND_DELAY_MS);
      await Promise.all([first, this.#sendTo(keyedRequest, this.#drawEntryUrl())]);
      return;
    }
    for (let sent = 0; sent < MAX_SENDINGS; sent += 1) {
      const { result } = await this.#sendTo(keyedRequest, this.#drawEntryUrl());
      if (result !== 'no-answer' && result !== 'error') return;
      await sleep(MAX_RESEND_DELAY_MS);
    }
  }

  async close(): Promise<void> {
    await this.#dispatcher.destroy();
  }

  // Stopped VMs are drawn too, as by a balancer that has not noticed yet: the caller sends again.
  #drawEntryUrl(): string {
    const { entries } = this.fleet;
    return entries[randomInteger(this.random, entries.length)]!.url;
  }

  async #sendTo(keyedRequest: KeyedRequest, url: string): Promise<Sending> {
    const sending = await sendKeyedRequest(url, keyedRequest, this.#dispatcher);
    this.sendings.push(sending);
    return sending;
  }
}

/** Sends requests of one kind with Poisson arrivals; resolves when all are settled. */
async function generateKeyedLoad(
  run: FaultRun,
  kind: KeyedRequest['kind'],
  random: Random,
): Promise<void> {
  const open: Promise<void>[] = [];
  const end = performance.now() + LOAD_SECONDS * MS_PER_SECOND;
  let at = performance.now();
  for (;;) {
    at += (-Math.log(1 - random.next()) * MS_PER_SECOND) / ratePerSecondByKind[kind];
    if (at >= end) break;
    const wait = at - performance.now();
    if (wait > 0) await sleep(wait);
    open.push(run.send(drawRequest(kind, random)));
  }
  await Promise.all(open);
}

/** An experiment that sends keyed requests while the faults of its plan happen. */
export class FaultExperiment implements Experiment {
  readonly #plan: FaultPlan;

  constructor(plan: FaultPlan) {
    this.#plan = plan;
  }

  get name(): string {
    return this.#plan.name;
  }

  get summary(): string {
    return this.#plan.summary;
  }

  async run({ seed, write }: ExperimentOptions): Promise<ExperimentResult> {
    const scenario = await loadScenario('demo');
    const fleet = await createFleet({ ...scenario, routers: ROUTER_COUNT }, seed);
    await sleep(SETTLE_MS);
    const run = new FaultRun(fleet, this.#plan, createRandom(seed));
    const kinds = Object.keys(ratePerSecondByKind) as KeyedRequest['kind'][];
    const loads = kinds.map((kind, at) =>
      generateKeyedLoad(run, kind, createRandom(seed * 10 + at)),
    );
    const extras = this.#plan.extraPrompts.map((prompt) =>
      run.send({ ...drawRequest('bulletin', run.random), prompt }),
    );
    await Promise.all([...loads, ...extras, this.#plan.cause(fleet)]);
    const figures = auditFleet(fleet, run.requests, run.sendings);
    await run.close();
    await fleet.stop();
    const targets = checkTargets([...COMMON_TARGETS, ...this.#plan.targets], figures, []);
    Object.entries(figures).forEach(([name, value]) => write(`${name.padEnd(20)} ${value}`));
    return { figures, targets };
  }
}
