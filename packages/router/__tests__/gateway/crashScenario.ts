import { createRandom, randomInteger, type Random } from '@filbertlatch/core';

/** One scenario of crashes, restarts and resends. */
export interface CrashScenario {
  readonly seed: number;
  readonly vms: number;
  readonly endpoints: number;
  /** How the endpoint ends: its connections are reset, or nothing answers any more. */
  readonly end: 'reset' | 'silent';
  /** Shortest and longest time until the endpoint is back, in milliseconds. */
  readonly downMs: readonly [number, number];
  /** Whether an endpoint restarts under its id or registers under another. */
  readonly identity: 'kept' | 'new';
  readonly crashingRequests: number;
  /** Time between two sends of one request, in milliseconds. */
  readonly resendMs: readonly [number, number];
  readonly repetition: 'idempotent' | 'non-idempotent';
  /** How VMs are restarted; `half` restarts one half and then the other, again and again. */
  readonly restart: 'none' | 'in-turn' | 'together' | 'half';
  /** Time of the first restart, in milliseconds. */
  readonly restartAtMs: number;
  /** Other requests in flight at each crash. */
  readonly bystanders: number;
  /** Shortest and longest time that another request runs, in milliseconds. */
  readonly bystanderRunMs: readonly [number, number];
  /** Time at which the store stops to tell of changes for `STORE_SILENCE_MS`; null for never. */
  readonly storeSilentAtMs: number | null;
  /** Time between two changes of the accounts in the configuration; null for none. */
  readonly accountChangeMs: number | null;
  /** Probability that a message between VMs is lost. */
  readonly peerLoss: number;
  /** Time for which one VM after the other is cut off from its peers; null for never. */
  readonly cutOffMs: number | null;
  readonly lengthMs: number;
}

/** Draws an integer between two bounds, both included. */
export function drawBetween(random: Random, [least, most]: readonly [number, number]): number {
  return least + randomInteger(random, most - least + 1);
}

function choose<T>(random: Random, choices: readonly T[]): T {
  return choices[randomInteger(random, choices.length)]!;
}

/** Draws a mix of all that scenarios vary; the same seed gives the same mix. */
export function drawCrashScenario(seed: number): CrashScenario {
  const random = createRandom(seed);
  const end = choose(random, ['reset', 'silent'] as const);
  const downMs = [
    [0, 0],
    [20, 80],
    [300, 600],
    [1500, 2500],
  ] as const;
  const resendMs = [
    [100, 200],
    [300, 600],
    [800, 1500],
  ] as const;
  return {
    seed,
    vms: drawBetween(random, [2, 4]),
    endpoints: drawBetween(random, [1, 5]),
    end,
    // A silent endpoint is silent for long enough that a caller notices.
    downMs: choose(random, end === 'silent' ? downMs.slice(2) : downMs),
    identity: choose(random, ['kept', 'new'] as const),
    crashingRequests: drawBetween(random, [1, 4]),
    resendMs: choose(random, resendMs),
    repetition: choose(random, ['idempotent', 'non-idempotent'] as const),
    restart: choose(random, ['none', 'in-turn', 'together'] as const),
    restartAtMs: drawBetween(random, [4000, 7000]),
    bystanders: drawBetween(random, [2, 6]),
    bystanderRunMs: [15, 15],
    storeSilentAtMs: choose(random, [null, drawBetween(random, [0, 6000])]),
    accountChangeMs: null,
    peerLoss: 0,
    cutOffMs: null,
    lengthMs: 15_000,
  };
}

/** Draws a large fleet whose VMs restart, are cut off or lose messages while accounts change. */
export function drawDisturbedScenario(seed: number): CrashScenario {
  const random = createRandom(seed);
  const disturbance = choose(random, ['none', 'half', 'cut-off', 'loss', 'all'] as const);
  const hasAll = disturbance === 'all';
  return {
    seed,
    vms: 8,
    endpoints: drawBetween(random, [6, 11]),
    end: choose(random, ['reset', 'silent'] as const),
    downMs: [1200, 2500],
    identity: 'new',
    crashingRequests: drawBetween(random, [1, 3]),
    resendMs: choose(random, [
      [150, 300],
      [500, 900],
    ] as const),
    repetition: choose(random, ['idempotent', 'non-idempotent'] as const),
    restart: hasAll || disturbance === 'half' ? 'half' : 'none',
    restartAtMs: drawBetween(random, [3000, 6000]),
    bystanders: choose(random, [6, 60]),
    bystanderRunMs: choose(random, [
      [15, 15],
      [100, 600],
    ] as const),
    storeSilentAtMs: choose(random, [null, drawBetween(random, [0, 6000])]),
    accountChangeMs: drawBetween(random, [1000, 4000]),
    peerLoss: hasAll || disturbance === 'loss' ? choose(random, [0.1, 0.3, 0.5]) : 0,
    cutOffMs: hasAll || disturbance === 'cut-off' ? drawBetween(random, [500, 3000]) : null,
    lengthMs: 20_000,
  };
}
