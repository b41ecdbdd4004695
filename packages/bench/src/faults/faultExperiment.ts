import { setTimeout as sleep } from 'node:timers/promises';

import { createRandom, randomInteger, type Random } from '@filbertlatch/core';
import { Agent } from 'undici';
import { v7 as createKey } from 'uuid';

import { createFleet, type Fleet } from '../createFleet.js';
import type { Experiment, ExperimentOptions, ExperimentResult } from '../experiments/experiment.js';
import { loadScenario } from '../loadScenario.js';
import { checkTargets, type Target } from '../targets.js';
import { auditFleet } from './ledger.js';
import { sendKeyed, type KeyedRequest, type Sending } from './sendKeyed.js';

const ROUTERS = 6;
const SECONDS = 6;
const MS_PER_SECOND = 1000;
const SETTLE_MS = 300;
const LONGEST_RESEND_MS = 100;
const MOST_SENDINGS = 3;

/** Text that crashes an engine in the experiment that is about it. */
export const POISON = 'poison';

const rates = { hold: 40, headline: 15, bulletin: 10 } as const;

const TARGETS: readonly Target[] = ['doubled', 'crossed', 'cut', 'falseNotRun']
  .map((figure): Target => ({ figure, bound: 'at-most', value: 0, factor: 1, plus: 0 }))
  .concat([{ figure: 'mostRunsOfAKey', bound: 'at-most', value: 1, factor: 1, plus: 0 }]);

/** What goes wrong in a fault experiment, and how callers behave. */
export interface FaultPlan {
  readonly name: string;
  readonly summary: string;
  /** True: every caller sends once more, to another VM, whatever comes of the first. */
  readonly resendsAll: boolean;
  /** Prompts sent besides the load, each until it is refused for good or answered. */
  readonly extraPrompts: readonly string[];
  readonly targets: readonly Target[];
  cause(fleet: Fleet): Promise<void>;
}

function drawRequest(kind: KeyedRequest['kind'], random: Random): KeyedRequest {
  const tokens =
    kind === 'bulletin' ? 30 + randomInteger(random, 30) : 10 + randomInteger(random, 10);
  const key = createKey();
  return { kind, key, tokens, prompt: `Draft ${key}.` };
}

class FaultRun {
  readonly requests: KeyedRequest[] = [];

  readonly sendings: Sending[] = [];

  readonly #dispatcher = new Agent({ connections: 1024, headersTimeout: 0, bodyTimeout: 0 });

  constructor(
    readonly fleet: Fleet,
    readonly plan: FaultPlan,
    readonly random: Random,
  ) {}

  async send(asked: KeyedRequest): Promise<void> {
    this.requests.push(asked);
    if (this.plan.resendsAll) {
      const first = this.#sendTo(asked, this.#draw());
      await sleep(this.random.next() * LONGEST_RESEND_MS);
      await Promise.all([first, this.#sendTo(asked, this.#draw())]);
      return;
    }
    for (let sent = 0; sent < MOST_SENDINGS; sent += 1) {
      const { result } = await this.#sendTo(asked, this.#draw());
      if (result !== 'no-answer' && result !== 'error') return;
      await sleep(LONGEST_RESEND_MS);
    }
  }

  async close(): Promise<void> {
    await this.#dispatcher.destroy();
  }

  // The balancer does not know yet that a VM is gone: the caller finds out and sends again.
  #draw(): string {
    const { entries } = this.fleet;
    return entries[randomInteger(this.random, entries.length)]!.url;
  }

  async #sendTo(asked: KeyedRequest, url: string): Promise<Sending> {
    const sending = await sendKeyed(url, asked, this.#dispatcher);
    this.sendings.push(sending);
    return sending;
  }
}

async function generate(run: FaultRun, kind: KeyedRequest['kind'], random: Random): Promise<void> {
  const open: Promise<void>[] = [];
  const end = performance.now() + SECONDS * MS_PER_SECOND;
  let at = performance.now();
  for (;;) {
    at += (-Math.log(1 - random.next()) * MS_PER_SECOND) / rates[kind];
    if (at >= end) break;
    const wait = at - performance.now();
    if (wait > 0) await sleep(wait);
    open.push(run.send(drawRequest(kind, random)));
  }
  await Promise.all(open);
}

/** An experiment with keyed requests, in which something breaks. */
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
    const fleet = await createFleet({ ...scenario, routers: ROUTERS }, seed);
    await sleep(SETTLE_MS);
    const run = new FaultRun(fleet, this.#plan, createRandom(seed));
    const kinds = Object.keys(rates) as KeyedRequest['kind'][];
    const loads = kinds.map((kind, at) => generate(run, kind, createRandom(seed * 10 + at)));
    const extras = this.#plan.extraPrompts.map((prompt) =>
      run.send({ ...drawRequest('bulletin', run.random), prompt }),
    );
    await Promise.all([...loads, ...extras, this.#plan.cause(fleet)]);
    const figures = auditFleet(fleet, run.requests, run.sendings);
    await run.close();
    await fleet.stop();
    const targets = checkTargets([...TARGETS, ...this.#plan.targets], figures, []);
    Object.entries(figures).forEach(([name, value]) => write(`${name.padEnd(20)} ${value}`));
    return { figures, targets };
  }
}
