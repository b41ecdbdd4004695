import { setTimeout as sleep } from 'node:timers/promises';

import { createRandom, type Random } from '@filbertlatch/core';
import { Agent } from 'undici';

import type { Load, Scenario } from './scenario.js';
import { sendRequest, type Sample } from './sendRequest.js';

const MS_PER_SECOND = 1000;

function drawLength(random: Random, { median, spread }: Load['outputTokens']): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  const normal = radius * Math.cos(2 * Math.PI * random.next());
  return Math.max(1, Math.round(median * Math.exp(spread * normal)));
}

/** Chooses the router that an arrival goes to, as the platform's balancer would. */
export type Balance = (random: Random) => string;

/** Sends a scenario's load with Poisson arrivals and returns every sample. */
export async function generateLoad(
  scenario: Scenario,
  balance: Balance,
  seed: number,
  onSample: (sample: Sample) => void = () => {},
): Promise<Sample[]> {
  const dispatcher = new Agent({ connections: 4096, headersTimeout: 0, bodyTimeout: 0 });
  const samples: Sample[] = [];
  const open = new Set<Promise<void>>();
  const end = performance.now() + scenario.seconds * MS_PER_SECOND;

  const runLoad = async (load: Load, index: number) => {
    const random = createRandom(seed * 1000 + index);
    let at = performance.now();
    for (;;) {
      at += (-Math.log(1 - random.next()) * MS_PER_SECOND) / load.ratePerSecond;
      if (at >= end) return;
      const wait = at - performance.now();
      if (wait > 0) await sleep(wait);
      const draw = {
        promptTokens: drawLength(random, load.promptTokens),
        outputTokens: drawLength(random, load.outputTokens),
      };
      const sent = sendRequest(balance(random), load, draw, dispatcher).then((sample) => {
        samples.push(sample);
        onSample(sample);
        open.delete(sent);
      });
      open.add(sent);
    }
  };
  await Promise.all(scenario.loads.map(runLoad));
  await Promise.all(open);
  await dispatcher.destroy();
  return samples;
}
