import {
  createRandom,
  createSchedulingState,
  placeJob,
  randomInteger,
  randomLogNormal,
  recordArrival,
  recordEnd,
  recordFirstEvent,
  recordPlacedSize,
  recordReads,
  recordSend,
  UNLIMITED,
  type GenerationSize,
  type Random,
  type SentWork,
} from '../../src/index.js';
import { describe, it } from '../../src/testing/index.js';
import { prefillMs } from '../../src/scheduling/costs.js';
import { createEndpoint, createJob } from './fixtures.js';

const ENGINES = 6;
const LENGTH_MS = 15_000;
const STEP_MS = 1;
const DECODE_MS = 150;
const MEDIAN_OWN_TOKENS = 1750;
const MAX_OWN_TOKENS = 39_600;

/** Least share of the largest tenth that is served, as a fraction of the share of all. */
const MIN_LARGE_FRACTION = 0.5;

interface Outcome {
  readonly tokens: number;
  isServed: boolean;
}

function drawSize(random: Random, index: number): GenerationSize {
  const own = Math.min(MAX_OWN_TOKENS, randomLogNormal(random, MEDIAN_OWN_TOKENS, 1));
  const segments = [
    { id: `preamble-${randomInteger(random, 4)}`, tokens: 2500 },
    { id: `account-${randomInteger(random, 40)}`, tokens: 3700 },
    { id: `own-${index}`, tokens: own },
  ];
  return { promptTokens: 6200 + own, outputTokens: 50, segments };
}

/** Plays requests at engines that read prompts one after the other, each engine slower by `pace`. */
function play(seed: number, perSecond: number, pace: number): Outcome[] {
  const random = createRandom(seed);
  const state = createSchedulingState('vm-1');
  const endpoints = Array.from({ length: ENGINES }, (_, index) => createEndpoint(`e${index}`));
  const busyUntil = new Map<string, number>();
  const due: { at: number; run: (now: number) => void }[] = [];
  const outcomes: Outcome[] = [];
  for (let now = 0; now < LENGTH_MS; now += STEP_MS) {
    due.filter(({ at }) => at <= now).forEach(({ run }) => run(now));
    due.splice(0, due.length, ...due.filter(({ at }) => at > now));
    if (random.next() >= (perSecond * STEP_MS) / 1000) continue;
    const size = drawSize(random, outcomes.length);
    const job = createJob({ size, targetMs: 400, gapTargetMs: 300, remainingMs: 4000 });
    recordArrival(state, job, now);
    const context = { state, endpoints, permits: UNLIMITED, zone: 'zone-a', random, now };
    const placement = placeJob(context, job);
    const outcome = { tokens: size.promptTokens, isServed: placement.kind === 'send' };
    outcomes.push(outcome);
    recordPlacedSize(state, job, outcome.isServed, now);
    if (placement.kind === 'refuse') continue;
    const { endpoint, tokens, predictedMs } = placement;
    const planned = {
      endpointId: endpoint.id,
      tokens,
      predictedMs,
      kind: 'prefill',
      size,
    } as const;
    const sent: SentWork = recordSend(state, planned, now);
    recordReads(state.prefixCaches, endpoint.id, size, now);
    const readAt = Math.max(now, busyUntil.get(endpoint.id) ?? 0) + prefillMs(tokens) * pace;
    busyUntil.set(endpoint.id, readAt);
    due.push({ at: readAt + 40, run: (at) => recordFirstEvent(state, sent, at) });
    due.push({ at: readAt + DECODE_MS, run: () => recordEnd(state, sent) });
  }
  return outcomes;
}

const servedShare = (outcomes: readonly Outcome[]) =>
  outcomes.filter(({ isServed }) => isServed).length / outcomes.length;

/** Returns the share of all requests, and of the largest tenth, that are served. */
function measure(outcomes: readonly Outcome[]): { all: number; large: number; small: number } {
  const bySize = [...outcomes].sort((a, b) => b.tokens - a.tokens);
  const tenth = Math.floor(bySize.length / 10);
  return {
    all: servedShare(bySize),
    large: servedShare(bySize.slice(0, tenth)),
    small: servedShare(bySize.slice(tenth)),
  };
}

describe('the largest tenth of a route’s requests', () => {
  const loads: Readonly<Record<string, [perSecond: number, pace: number]>> = {
    'while all engines are idle': [5, 1],
    'while the engines are slower than expected': [20, 2.5],
    'at the engines’ capacity': [220, 1],
    'at twice the engines’ capacity': [440, 1],
  };
  Object.entries(loads).forEach(([title, [perSecond, pace]]) => {
    for (const seed of [1, 2, 3]) {
      it(`is served at least half as often as all ${title} (seed ${seed})`, (t) => {
        const { all, large, small } = measure(play(seed, perSecond, pace));
        t.log({ all, large, small });
        t.true(large >= MIN_LARGE_FRACTION * all);
      });
    }
  });
});
