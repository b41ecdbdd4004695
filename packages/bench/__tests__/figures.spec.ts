import { classSchema, createRandom, limitSchema } from '@filbertlatch/core';
import { describe, it } from '@filbertlatch/core/testing';

import { createBalancer } from '../src/balancer.js';
import { computeClassFigures } from '../src/classFigures.js';
import { drawArrivals } from '../src/generateLoad.js';
import { measureLimitUse } from '../src/measureLimitUse.js';
import { loadSchema } from '../src/scenario.js';
import type { Sample } from '../src/sendRequest.js';
import { findLeastShares } from '../src/findLeastShares.js';

const row = classSchema.parse({
  id: 'bulletin',
  tier: 'standard',
  share: 0.4,
  target: { firstTokenMs: 300, betweenTokensMs: 40, wholeMs: 2000 },
});

function createSample(changes: Partial<Sample> = {}): Sample {
  return {
    class: 'bulletin',
    target: 'drafting',
    streamed: true,
    startedAt: 0,
    status: 200,
    firstTokenMs: 100,
    wholeMs: 1000,
    promptTokens: 10,
    askedTokens: 31,
    tokens: 31,
    whole: true,
    error: null,
    ...changes,
  };
}

describe('computeClassFigures', () => {
  const table: [string, Partial<Sample>, { attainment: number; goodput: number }][] = [
    ['an answer in time', {}, { attainment: 1, goodput: 1 }],
    ['a late first token', { firstTokenMs: 301 }, { attainment: 0, goodput: 1 }],
    ['gaps over the target', { wholeMs: 1301 }, { attainment: 0, goodput: 1 }],
    ['an answer after the window', { wholeMs: 2001 }, { attainment: 0, goodput: 0 }],
    ['a cut answer', { whole: false }, { attainment: 0, goodput: 0 }],
    [
      'a whole answer, which has no first token',
      { streamed: false, firstTokenMs: null, wholeMs: 1999 },
      { attainment: 1, goodput: 1 },
    ],
  ];
  for (const [title, changes, expected] of table) {
    it(`counts ${title}`, (t) => {
      t.like(computeClassFigures(row, [createSample(changes)]), expected);
    });
  }

  it('distinguishes shed from failed requests by the verdict', (t) => {
    const error = (run: string) => ({ whole: false, error: { code: 'overloaded', run } });
    const samples = [createSample(error('not-run')), createSample(error('may-have-run'))];
    t.like(computeClassFigures(row, samples), { shed: 1, failed: 1 });
  });
});

describe('findLeastShares', () => {
  const other = classSchema.parse({ ...row, id: 'summary', share: 0.1 });
  // One request per second for 12 seconds, so that one always waits for its first token.
  const createSteadySamples = (classId: string, tokens: number) =>
    Array.from({ length: 12 }, (_, second) =>
      createSample({
        class: classId,
        startedAt: second * 1000,
        firstTokenMs: 1000,
        wholeMs: 1500,
        promptTokens: 0,
        tokens,
      }),
    );

  it('returns the share of the pool over windows in which the class waited throughout', (t) => {
    const samples = [...createSteadySamples('bulletin', 30), ...createSteadySamples('summary', 10)];
    const shares = findLeastShares([row, other], samples, 12);
    t.is(Math.round(shares.find((s) => s.class === 'summary')!.least * 100), 25);
    t.true(shares.find((s) => s.class === 'bulletin')!.ofGuaranteed > 1);
  });

  it('leaves out a class that asked for less than its share', (t) => {
    const few = createSteadySamples('bulletin', 10).map((sample) => ({
      ...sample,
      askedTokens: 10,
    }));
    const shares = findLeastShares(
      [row, other],
      [...few, ...createSteadySamples('summary', 30)],
      12,
    );
    t.deepEqual(
      shares.map((share) => share.class),
      ['summary'],
    );
  });

  it('leaves out a class that did not wait throughout', (t) => {
    const samples = [...createSteadySamples('bulletin', 30), createSample({ class: 'summary' })];
    const shares = findLeastShares([row, other], samples, 12);
    t.deepEqual(
      shares.map((share) => share.class),
      ['bulletin'],
    );
  });
});

describe('measureLimitUse', () => {
  const limit = limitSchema.parse({ id: 'l', class: 'bulletin', tokensPerSecond: 100 });

  it('finds the window with the most tokens, and the mean after the warm-up', (t) => {
    const samples = Array.from({ length: 20 }, (_, second) =>
      createSample({
        startedAt: second * 1000,
        firstTokenMs: 0,
        wholeMs: 900,
        promptTokens: second === 12 ? 260 : 10,
        tokens: 90,
      }),
    );
    const use = measureLimitUse(limit, samples, () => 'any', { from: 10, to: 20 });
    t.is(Math.round(use.peak * 100), 150);
    t.is(Math.round(use.mean * 1000), 1250);
  });
});

describe('drawArrivals', () => {
  const load = loadSchema.parse({
    class: 'bulletin',
    account: 'a',
    target: 'drafting',
    ratePerSecond: 100,
    phases: [
      { fromSecond: 0, factor: 0.5 },
      { fromSecond: 5, factor: 4 },
      { fromSecond: 10, factor: 0 },
    ],
  });

  it('follows the phases and depends on nothing but the seed', (t) => {
    const arrivals = drawArrivals(load, 15, createRandom(3));
    const between = (from: number, to: number) =>
      arrivals.filter((at) => at >= from * 1000 && at < to * 1000).length;
    t.true(Math.abs(between(0, 5) - 250) < 60);
    t.true(Math.abs(between(5, 10) - 2000) < 160);
    t.is(between(10, 15), 0);
    t.deepEqual(arrivals, drawArrivals(load, 15, createRandom(3)));
  });
});

describe('createBalancer', () => {
  it('spreads by weight over the entries that are up', (t) => {
    let isFirstUp = true;
    const balancer = createBalancer([
      { url: 'a', weight: 5, isUp: () => isFirstUp },
      { url: 'b', weight: 1, isUp: () => true },
    ]);
    const random = createRandom(5);
    const count = () =>
      Array.from({ length: 600 }, () => balancer(random)).filter((u) => u === 'a');
    t.true(Math.abs(count().length - 500) < 60);
    isFirstUp = false;
    t.is(count().length, 0);
  });
});
