import {
  createCore,
  createRandom,
  createTableView,
  type Core,
  type Outcome,
  type Request,
} from '@filbertlatch/core';
import { checkTable } from '@filbertlatch/core';
import { describe, it } from '@filbertlatch/core/testing';

import { Attainment } from '../src/observation/index.js';

const START = 1_000_000_000_000;
const target = { firstTokenMs: 300, betweenTokensMs: 40, wholeMs: 2000 };

function createWatchedCore(): Core {
  const vm = { id: 'vm-1', zone: 'z', region: 'r', peerUrl: 'http://127.0.0.1:1', state: 'live' };
  const core = createCore(vm as never, createRandom(1), START);
  const checked = checkTable({
    revision: 1,
    classes: [{ id: 'headline', tier: 'critical', share: 0.5, target }],
    accounts: [],
    models: [],
    endpoints: [],
    limits: [],
  });
  if (!checked.ok) throw new Error(JSON.stringify(checked.faults));
  core.table.view = createTableView(checked.value);
  return core;
}

function createRequest(id: string, arrivedAt: number): Request {
  return {
    id,
    classId: 'headline',
    accountId: 'station-1',
    pool: 'model:small',
    arrivedAt,
    deadline: arrivedAt + target.wholeMs,
    promptTokens: 10,
    maxOutputTokens: 100,
    prefixes: [],
    repeatable: true,
    key: null,
    fingerprint: id,
  };
}

interface RequestCourse {
  readonly firstMs: number | null;
  readonly wholeMs: number;
  readonly tokens: number;
  readonly outcome: Outcome;
}

function watchRequest(
  attainment: Attainment,
  id: string,
  arrivedAt: number,
  course: RequestCourse,
): void {
  const request = createRequest(id, arrivedAt);
  attainment.watch({ kind: 'request-arrived', request }, [], arrivedAt);
  const attempt = { id: `a-${id}` };
  attainment.watch({ kind: 'tick' }, [{ kind: 'dispatch', attempt, request } as never], arrivedAt);
  if (course.firstMs !== null) {
    const tokens = { kind: 'tokens-arrived', attemptId: attempt.id, count: course.tokens } as const;
    attainment.watch(tokens, [], arrivedAt + course.firstMs);
  }
  const isWhole = course.outcome === 'complete' || course.outcome === 'late';
  const end = isWhole
    ? ({ kind: 'complete', outputTokens: course.tokens } as const)
    : ({ kind: 'cancelled', verdict: 'may-have-run' } as const);
  const ended = { kind: 'request-ended', requestId: id, outcome: course.outcome } as const;
  const message = { kind: 'attempt-ended', attemptId: attempt.id, end } as const;
  attainment.watch(message, [ended], arrivedAt + course.wholeMs);
}

const cases: readonly (readonly [
  string,
  RequestCourse,
  { met: number; inWindow: number; wasted: number },
])[] = [
  [
    'counts an answer that meets every target',
    { firstMs: 200, wholeMs: 600, tokens: 11, outcome: 'complete' },
    { met: 1, inWindow: 1, wasted: 0 },
  ],
  [
    'counts an answer with a late first token as missed, but in the window',
    { firstMs: 301, wholeMs: 600, tokens: 11, outcome: 'complete' },
    { met: 0, inWindow: 1, wasted: 0 },
  ],
  [
    'counts an answer with too long gaps as missed, but in the window',
    { firstMs: 200, wholeMs: 1000, tokens: 11, outcome: 'complete' },
    { met: 0, inWindow: 1, wasted: 0 },
  ],
  [
    'counts all tokens of an answer complete after the window as wasted',
    { firstMs: 200, wholeMs: 2500, tokens: 11, outcome: 'late' },
    { met: 0, inWindow: 0, wasted: 11 },
  ],
  [
    'counts the tokens of an answer that was cut off as wasted',
    { firstMs: 200, wholeMs: 600, tokens: 7, outcome: 'failed' },
    { met: 0, inWindow: 0, wasted: 7 },
  ],
  [
    'counts a request shed before it ran as missed, without wasted tokens',
    { firstMs: null, wholeMs: 2000, tokens: 0, outcome: 'shed' },
    { met: 0, inWindow: 0, wasted: 0 },
  ],
];

describe('Attainment', () => {
  describe('with one request', () => {
    cases.forEach(([title, course, { met, inWindow, wasted }]) => {
      it(title, (t) => {
        const attainment = new Attainment(createWatchedCore());
        watchRequest(attainment, 'r1', START, course);
        const figures = attainment.figures('headline', START + course.wholeMs);
        t.is(figures.requests, 1);
        t.is(figures.attainment, met);
        t.is(figures.goodput, inWindow);
        t.is(figures.wastedTokens, wasted);
        t.is(attainment.countOpen().get('headline'), undefined);
      });
    });
  });

  describe('with a caller that left', () => {
    const course = { firstMs: 100, tokens: 5, outcome: 'abandoned' } as const;

    it('excludes the request when the caller left before the deadline', (t) => {
      const attainment = new Attainment(createWatchedCore());
      watchRequest(attainment, 'r1', START, { ...course, wholeMs: 500 });
      const figures = attainment.figures('headline', START + 500);
      t.is(figures.requests, 0);
      t.is(figures.abandoned, 1);
      t.is(figures.attainment, null);
      t.is(figures.waste, 1);
    });

    it('counts the request as missed when the caller left after the deadline', (t) => {
      const attainment = new Attainment(createWatchedCore());
      watchRequest(attainment, 'r1', START, { ...course, wholeMs: 2500 });
      t.is(attainment.figures('headline', START + 2500).attainment, 0);
    });
  });

  describe('over time', () => {
    it('drops requests older than a minute from the window but keeps the totals', (t) => {
      const attainment = new Attainment(createWatchedCore());
      const course = { firstMs: 100, wholeMs: 300, tokens: 5, outcome: 'complete' } as const;
      watchRequest(attainment, 'r1', START, course);
      watchRequest(attainment, 'r2', START + 50_000, course);
      t.is(attainment.figures('headline', START + 51_000).requests, 2);
      t.is(attainment.figures('headline', START + 65_000).requests, 1);
      t.is(attainment.figures('headline', START + 200_000).requests, 0);
      t.is(attainment.totals('headline').requests, 2);
    });

    it('reads percentiles within two significant digits', (t) => {
      const attainment = new Attainment(createWatchedCore());
      for (let index = 1; index <= 100; index += 1) {
        const course = { firstMs: index, wholeMs: 400, tokens: 2, outcome: 'complete' } as const;
        watchRequest(attainment, `r${index}`, START, course);
      }
      const { p50, p95, p99 } = attainment.figures('headline', START).firstTokenMs;
      t.true(Math.abs(p50! - 50) <= 1, `${p50}`);
      t.true(Math.abs(p95! - 95) <= 1, `${p95}`);
      t.true(Math.abs(p99! - 99) <= 1, `${p99}`);
    });
  });
});
