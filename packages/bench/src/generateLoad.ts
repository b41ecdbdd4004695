import { setTimeout as sleep } from 'node:timers/promises';

import { createRandom, randomLogNormal, type Random } from '@filbertlatch/core';
import { Agent } from 'undici';

import type { Balance } from './balance.js';
import type { Load, Scenario } from './scenario.js';
import { sendRequest, type Patience, type Sample } from './sendRequest.js';

const MS_PER_SECOND = 1000;
const RANDOM_STRIDE = 1000;

function drawLength(random: Random, { median, spread, most }: Load['outputTokens']): number {
  return Math.min(most, Math.max(1, Math.round(randomLogNormal(random, median, spread))));
}

/** Returns the factor on a load's rate at a second of the run. */
export function factorAt(load: Load, second: number): number {
  const begun = load.phases.filter((phase) => phase.fromSecond <= second);
  return begun.length === 0
    ? 1
    : begun.reduce((a, b) => (b.fromSecond >= a.fromSecond ? b : a)).factor;
}

/** Returns the instants at which a load's requests arrive, in milliseconds from the start. */
export function drawArrivals(load: Load, seconds: number, random: Random): number[] {
  // Thinning: arrivals at the highest rate, of which the part due at each instant is kept.
  const highest = Math.max(1, ...load.phases.map((phase) => phase.factor));
  const arrivals: number[] = [];
  let second = 0;
  for (;;) {
    second -= Math.log(1 - random.next()) / (load.ratePerSecond * highest);
    if (second >= seconds) return arrivals;
    if (random.next() * highest < factorAt(load, second)) arrivals.push(second * MS_PER_SECOND);
  }
}

/** Sends a scenario's load with Poisson arrivals and returns every sample. */
export async function generateLoad(
  scenario: Scenario,
  balance: Balance,
  seed: number,
  onSample: (sample: Sample) => void = () => {},
  patience: Patience = () => null,
): Promise<Sample[]> {
  const dispatcher = new Agent({ connections: 4096, headersTimeout: 0, bodyTimeout: 0 });
  const samples: Sample[] = [];
  const open = new Set<Promise<void>>();
  const start = performance.now();

  const runLoad = async (load: Load, index: number) => {
    const random = createRandom(seed * RANDOM_STRIDE + index);
    for (const at of drawArrivals(load, scenario.seconds, random)) {
      const wait = start + at - performance.now();
      if (wait > 0) await sleep(wait);
      const draw = {
        promptTokens: drawLength(random, load.promptTokens),
        outputTokens: drawLength(random, load.outputTokens),
        arrivedAt: start + at,
      };
      const patienceMs = patience(load.class);
      const sent = sendRequest(balance(random), load, draw, dispatcher, patienceMs).then(
        (sample) => {
          samples.push(sample);
          onSample(sample);
          open.delete(sent);
        },
      );
      open.add(sent);
    }
  };
  await Promise.all(scenario.loads.map(runLoad));
  await Promise.all(open);
  await dispatcher.destroy();
  return samples;
}
