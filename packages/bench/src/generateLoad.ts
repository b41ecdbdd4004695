import { setTimeout as sleep } from 'node:timers/promises';

import { createRandom, randomLogNormal, type Random } from '@filbertlatch/core';
import { Agent } from 'undici';

import type { Balancer } from './balancer.js';
import type { Load, Scenario } from './scenario.js';
import { sendRequest, type Patience, type Sample } from './sendRequest.js';

const MS_PER_SECOND = 1000;
/** Keeps the seeds of the loads of one run apart from those of runs with other seeds. */
const SEED_STRIDE = 1000;

function drawLength(random: Random, { median, spread, most }: Load['outputTokens']): number {
  return Math.min(most, Math.max(1, Math.round(randomLogNormal(random, median, spread))));
}

/** Returns the factor by which the phases of a load multiply its rate at a second of the run. */
export function rateFactorAt(load: Load, second: number): number {
  const begun = load.phases.filter((phase) => phase.fromSecond <= second);
  return begun.length === 0
    ? 1
    : begun.reduce((a, b) => (b.fromSecond >= a.fromSecond ? b : a)).factor;
}

/** Draws the Poisson arrival times of a load, in milliseconds from the start of the run. */
export function drawArrivals(load: Load, seconds: number, random: Random): number[] {
  // Thinning: draws arrivals at the highest rate and keeps each with the probability of its phase.
  const highest = Math.max(1, ...load.phases.map((phase) => phase.factor));
  const arrivals: number[] = [];
  let second = 0;
  for (;;) {
    second -= Math.log(1 - random.next()) / (load.ratePerSecond * highest);
    if (second >= seconds) return arrivals;
    if (random.next() * highest < rateFactorAt(load, second)) arrivals.push(second * MS_PER_SECOND);
  }
}

/**
 * Sends the loads of a scenario with Poisson arrivals; resolves with the sample of every request
 * when all are settled.
 */
export async function generateLoad(
  scenario: Scenario,
  balancer: Balancer,
  seed: number,
  onSample: (sample: Sample) => void = () => {},
  patience: Patience = () => null,
): Promise<Sample[]> {
  const dispatcher = new Agent({ connections: 4096, headersTimeout: 0, bodyTimeout: 0 });
  const samples: Sample[] = [];
  const open = new Set<Promise<void>>();
  const start = performance.now();

  const runLoad = async (load: Load, index: number) => {
    const random = createRandom(seed * SEED_STRIDE + index);
    for (const at of drawArrivals(load, scenario.seconds, random)) {
      const wait = start + at - performance.now();
      if (wait > 0) await sleep(wait);
      const draw = {
        promptTokens: drawLength(random, load.promptTokens),
        outputTokens: drawLength(random, load.outputTokens),
        arrivedAt: start + at,
      };
      const patienceMs = patience(load.class);
      const sent = sendRequest(balancer(random), load, draw, dispatcher, patienceMs).then(
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
