import { createRandom, randomInteger, type Random } from '@filbertlatch/core';

import { drawBetween } from './crashScenario.js';
import type { EndpointLifetime } from './restartingEndpoint.js';

type Range = readonly [number, number];

/** One scenario of prompts with segments that crash endpoints, or of endpoints that end by themselves. */
export interface SegmentScenario extends EndpointLifetime {
  readonly seed: number;
  readonly vms: number;
  readonly endpoints: number;
  /** Time until an endpoint is back, in milliseconds. */
  readonly downMs: Range;
  /** When an endpoint crashes: before the answer's head, after it, or after the first event. */
  readonly crashAt: 'before' | 'head' | 'event';
  /** Number of segments that crash endpoints. */
  readonly crashingSegments: number;
  /** Where in the prompt such a segment is; `next-to-last` is the last place that it may have. */
  readonly place: 'first' | 'middle' | 'next-to-last';
  /** Segments of a prompt, the caller's own one included. */
  readonly segments: number;
  /** Time between requests with a crashing segment, in milliseconds. */
  readonly crashingEveryMs: Range;
  /** Such requests at a time. */
  readonly crashingAtOnce: number;
  /** VMs that get such requests, the first ones. */
  readonly crashingVms: number;
  /** Fraction of these requests whose crashing segment comes with one more that others rarely have. */
  readonly companions: number;
  readonly soundPerSecond: number;
  /** Whether middle segments of sound requests come again or are always new. */
  readonly middle: 'shared' | 'new';
  /** Time from the arrival at an endpoint to its first event, in milliseconds. */
  readonly firstEventMs: Range;
  readonly isResumable: boolean;
  /** Whether chunks delimit answers, or only the end of the connection. */
  readonly framing: 'chunks' | 'none';
  /** Time for which a caller waits, in milliseconds. */
  readonly timeoutMs: number;
  /** Whether a caller sends a request again, under another id, when it gets no answer. */
  readonly resends: boolean;
  /** How VMs are restarted. */
  readonly restart: 'none' | 'in-turn' | 'together';
  readonly restartAtMs: number;
  /** Probability that a message between VMs is lost. */
  readonly peerLoss: number;
  /** Time for which one VM after the other is cut off from its peers; null for never. */
  readonly cutOffMs: number | null;
  /** Time between ends of endpoints for other reasons, in milliseconds; null for none. */
  readonly killEveryMs: number | null;
  readonly storeSilentAtMs: number | null;
  readonly lengthMs: number;
}

/** Four VMs, eight engines and one segment that crashes them, three times a second. */
export const basicSegmentScenario: SegmentScenario = {
  seed: 1,
  vms: 4,
  endpoints: 8,
  end: 'reset',
  identity: 'new',
  downMs: [1500, 2500],
  crashAt: 'head',
  crashingSegments: 1,
  place: 'middle',
  segments: 4,
  crashingEveryMs: [200, 400],
  crashingAtOnce: 1,
  crashingVms: 4,
  companions: 0,
  soundPerSecond: 40,
  middle: 'shared',
  firstEventMs: [20, 60],
  isResumable: false,
  framing: 'chunks',
  timeoutMs: 3000,
  resends: true,
  restart: 'none',
  restartAtMs: 7000,
  peerLoss: 0,
  cutOffMs: null,
  killEveryMs: null,
  storeSilentAtMs: null,
  lengthMs: 20_000,
};

function choose<T>(random: Random, choices: readonly T[]): T {
  return choices[randomInteger(random, choices.length)]!;
}

/** Draws a mix of all that scenarios vary; the same seed gives the same mix. */
export function drawSegmentScenario(seed: number): SegmentScenario {
  const random = createRandom(seed);
  const end = choose(random, ['reset', 'close', 'silent'] as const);
  const vms = drawBetween(random, [3, 8]);
  return {
    seed,
    vms,
    endpoints: drawBetween(random, [6, 12]),
    end,
    identity: choose(random, ['new', 'new', 'kept'] as const),
    downMs: choose(random, [
      [600, 1200],
      [1500, 2500],
      [3000, 3500],
    ] as const),
    crashAt: choose(random, ['before', 'head', 'event'] as const),
    crashingSegments: drawBetween(random, [1, 3]),
    place: choose(random, ['first', 'middle', 'next-to-last'] as const),
    segments: choose(random, [2, 3, 8]),
    crashingEveryMs: choose(random, [
      [400, 600],
      [200, 400],
      [80, 120],
    ] as const),
    crashingAtOnce: choose(random, [1, 1, 3]),
    crashingVms: choose(random, [1, vms]),
    companions: choose(random, [0, 0.8]),
    soundPerSecond: choose(random, [20, 60]),
    middle: choose(random, ['shared', 'new'] as const),
    firstEventMs: choose(random, [
      [20, 60],
      [100, 400],
    ] as const),
    isResumable: choose(random, [true, false]),
    framing: choose(random, ['chunks', 'chunks', 'none'] as const),
    timeoutMs: choose(random, [3000, 6000]),
    resends: choose(random, [true, false]),
    restart: choose(random, ['none', 'none', 'in-turn', 'together'] as const),
    restartAtMs: drawBetween(random, [6000, 9000]),
    peerLoss: choose(random, [0, 0, 0.3]),
    cutOffMs: choose(random, [null, null, 1500]),
    killEveryMs: choose(random, [null, 1500]),
    storeSilentAtMs: choose(random, [null, drawBetween(random, [0, 6000])]),
    lengthMs: 22_000,
  };
}
