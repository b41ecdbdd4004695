import { createRandom, randomInteger, type Random } from '@filbertlatch/core';

import { drawBetween } from './crashScenario.js';

/** A limit that an endpoint begins to name, in requests a second; null for none any more. */
export interface NamedLimitChange {
  /** Time from the start of the scenario, in milliseconds. */
  readonly atMs: number;
  readonly perSecond: number | null;
}

/** One scenario of endpoints that name limits. */
export interface LimitScenario {
  readonly seed: number;
  readonly vms: number;
  readonly endpoints: number;
  /** Endpoints that name limits, the first ones. */
  readonly limited: number;
  /** Limits that each of them names in turn. */
  readonly limits: readonly NamedLimitChange[];
  readonly requestsPerSecond: number;
  /** Fraction of the requests that reach the first VM. */
  readonly firstVmFraction: number;
  /** Fraction of the requests that are streams. */
  readonly streams: number;
  /** Fraction of the runs after which the connection breaks without an answer. */
  readonly broken: number;
  /** Fraction of the requests that an endpoint refuses. */
  readonly refused: number;
  /** How VMs are restarted; `leave` stops half of them for good, `together` restarts all once. */
  readonly restart: 'none' | 'in-turn' | 'half' | 'together' | 'leave';
  /** Time for which one VM after the other is cut off from its peers; null for never. */
  readonly cutOffMs: number | null;
  /** Probability that a message between VMs is lost. */
  readonly peerLoss: number;
  /** Time between two restarts of a limited endpoint under its id; null for none. */
  readonly endpointRestartMs: number | null;
  readonly lengthMs: number;
}

function choose<T>(random: Random, choices: readonly T[]): T {
  return choices[randomInteger(random, choices.length)]!;
}

/** Draws a mix of all that scenarios vary; the same seed gives the same mix. */
export function drawLimitScenario(seed: number): LimitScenario {
  const random = createRandom(seed);
  const endpoints = drawBetween(random, [2, 4]);
  const drawLimit = () => choose(random, [0.3, 0.7, 1, 2.3, 3, 6, 12]);
  const changes = drawBetween(random, [0, 3]);
  return {
    seed,
    vms: choose(random, [3, 6, 8, 10]),
    endpoints,
    limited: choose(random, [1, endpoints]),
    limits: [
      { atMs: 1000, perSecond: drawLimit() },
      ...Array.from({ length: changes }, (_, index) => ({
        atMs: 5000 + index * 4000,
        perSecond: choose(random, [drawLimit(), drawLimit(), null]),
      })),
    ],
    requestsPerSecond: choose(random, [20, 60, 120]),
    firstVmFraction: choose(random, [0, 0.5, 0.9]),
    streams: choose(random, [0, 0.5, 1]),
    broken: choose(random, [0, 0, 0.1]),
    refused: choose(random, [0, 0, 0.2]),
    restart: choose(random, ['none', 'none', 'in-turn', 'half', 'together', 'leave'] as const),
    cutOffMs: choose(random, [null, null, 1500]),
    peerLoss: choose(random, [0, 0, 0.3]),
    endpointRestartMs: choose(random, [null, null, 4000]),
    lengthMs: 18_000,
  };
}
