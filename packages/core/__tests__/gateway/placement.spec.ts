import {
  recordFirstEvent,
  createRandom,
  createSchedulingState,
  createWorkLoad,
  divideEngines,
  recordEnd,
  resetEndpointWork,
  recordPeerWork,
  recordArrival,
  recordOutcome,
  recordStepPace,
  meanFirstEventPace,
  placeJob,
  recordReads,
  recordSend,
  totalLoad,
  uncachedTokens,
  UNLIMITED,
  type Job,
  type RegisteredEndpoint,
  type RequestPermits,
  type SchedulingState,
  type WorkKind,
} from '../../src/index.js';
import { prefillMs, stepMs } from '../../src/scheduling/costs.js';
import { describe, it } from '../../src/testing/index.js';
import { createEndpoint, createJob, createDraftSize, headlineSize } from './fixtures.js';

const engines = Array.from({ length: 8 }, (_, index) => createEndpoint(`engine-${index}`));
const headline = createJob({
  routeId: 'headlines',
  priority: 0,
  size: headlineSize,
  targetMs: 300,
  gapTargetMs: 250,
});
const draft = createJob();
const FLEET_ENGINES = 64;

function place(
  state: SchedulingState,
  job: Job,
  now: number,
  endpoints: readonly RegisteredEndpoint[] = engines,
  permits: RequestPermits = UNLIMITED,
) {
  const random = createRandom(7);
  return placeJob({ state, endpoints, permits, zone: 'zone-a', random, now }, job);
}

/** Records a request with that many uncached prompt tokens as sent. */
function send(
  state: SchedulingState,
  endpointId: string,
  tokens: number,
  kind: WorkKind = 'prefill',
  now = 0,
) {
  return recordSend(state, { endpointId, tokens, predictedMs: 100, kind, size: null }, now);
}

/** Records evenly spaced arrivals of both kinds of work for 2000 ms; returns the end instant. */
function recordArrivals(
  state: SchedulingState,
  draftsPerSecond: number,
  headlinesPerSecond: number,
) {
  for (let now = 0; now < 2000; now += 10) {
    if ((now * draftsPerSecond) % 1000 < 10 * draftsPerSecond) recordArrival(state, draft, now);
    if ((now * headlinesPerSecond) % 1000 < 10 * headlinesPerSecond) {
      recordArrival(state, headline, now);
    }
  }
  return 2000;
}

describe('placement', () => {
  describe('with engines divided by demand', () => {
    it('assigns each engine to either prefill-bound or decode-bound requests', (t) => {
      const state = createSchedulingState('vm-1');
      const now = recordArrivals(state, 40, 40);
      const decode = divideEngines(state, 'engines', engines, 'decode', now).own;
      const prefill = divideEngines(state, 'engines', engines, 'prefill', now).own;
      t.is(decode.length + prefill.length, engines.length);
      t.true(decode.every(({ id }) => !prefill.some((engine) => engine.id === id)));
    });

    it('gives decode more engines when its demand is higher', (t) => {
      const few = createSchedulingState('vm-1');
      const many = createSchedulingState('vm-1');
      const fewNow = recordArrivals(few, 80, 20);
      const manyNow = recordArrivals(many, 20, 80);
      const count = (state: SchedulingState, now: number) =>
        divideEngines(state, 'engines', engines, 'decode', now).own.length;
      t.true(count(few, fewNow) < count(many, manyNow));
      t.true(count(few, fewNow) >= 1);
      t.true(count(many, manyNow) < engines.length);
    });

    [8, 16, 32, 64, 128].forEach((slots) => {
      it(`gives decode slots for the streams that run at once, with ${slots} an engine`, (t) => {
        const state = createSchedulingState('vm-1');
        // As many streams as fill a quarter of the engines; prompts take up nearly half of them.
        const streams = (FLEET_ENGINES / 4) * slots;
        const headlinesPerSecond = streams / (headlineSize.outputTokens * stepMs(slots, 0) * 0.001);
        const draftsPerSecond = (0.45 * FLEET_ENGINES * 1000) / prefillMs(draft.size!.promptTokens);
        const fleet = Array.from({ length: FLEET_ENGINES }, (_, index) =>
          createEndpoint(`engine-${index}`, { slots }),
        );
        for (let now = 0; now < 5000; now += 10) {
          const arrived = (perSecond: number) =>
            Math.floor((perSecond * (now + 10)) / 1000) - Math.floor((perSecond * now) / 1000);
          const arrive = (job: Job, count: number) =>
            Array.from({ length: count }, () => recordArrival(state, { ...job, slots }, now));
          arrive(draft, arrived(draftsPerSecond));
          arrive(headline, arrived(headlinesPerSecond));
        }
        const { own } = divideEngines(state, 'engines', fleet, 'decode', 5000);
        t.true(own.length * slots >= streams, `${own.length} engines for ${streams} streams`);
        t.true(own.length <= FLEET_ENGINES / 2);
      });
    });

    it('adopts the border of a VM with a lower id, but not of one with a higher id', (t) => {
      const state = createSchedulingState('vm-2');
      const now = recordArrivals(state, 40, 40);
      const reportBorder = (peer: string, border: number) =>
        recordPeerWork(state, peer, {
          at: now,
          loads: new Map(),
          paces: new Map(),
          borders: new Map([['engines', border]]),
          demand: new Map(),
        });
      const count = (at: number) =>
        divideEngines(state, 'engines', engines, 'decode', at).own.length;
      reportBorder('vm-3', 7);
      const own = count(now);
      t.not(own, 7);
      reportBorder('vm-1', 1);
      t.is(count(now), 1);
    });

    it('gives all engines to the only kind of work', (t) => {
      const state = createSchedulingState('vm-1');
      recordArrival(state, draft, 0);
      t.is(divideEngines(state, 'engines', engines, 'prefill', 0).own.length, engines.length);
    });

    it('gives a single engine to both kinds of work', (t) => {
      const state = createSchedulingState('vm-1');
      const now = recordArrivals(state, 40, 40);
      const one = engines.slice(0, 1);
      t.is(divideEngines(state, 'engines', one, 'decode', now).own.length, 1);
      t.is(divideEngines(state, 'engines', one, 'prefill', now).own.length, 1);
    });
  });

  describe('of a prefill-bound request', () => {
    it('uses the same engine for the same shared segment', (t) => {
      const state = createSchedulingState('vm-1');
      const first = place(state, draft, 0);
      const again = place(state, createJob({ id: 'request-2' }), 0);
      t.is(first.kind, 'send');
      t.deepEqual(first, again);
    });

    it('spreads different shared segments over all engines', (t) => {
      const state = createSchedulingState('vm-1');
      const used = new Set<string>();
      for (let index = 0; index < 64; index += 1) {
        const placement = place(state, createJob({ size: createDraftSize(`digest-${index}`) }), 0);
        if (placement.kind === 'send') used.add(placement.endpoint.id);
      }
      t.is(used.size, engines.length);
    });

    it('leaves the preferred engine when its queue costs more than another prefill', (t) => {
      const state = createSchedulingState('vm-1');
      const preferred = place(state, draft, 0);
      if (preferred.kind !== 'send') return t.fail('expected a placement');
      send(state, preferred.endpoint.id, 20_000);
      const next = place(state, draft, 0);
      if (next.kind !== 'send') return t.fail('expected a placement');
      t.not(next.endpoint.id, preferred.endpoint.id);
      return t.is(next.tokens, draft.size!.promptTokens);
    });

    it('is refused at once, with a retry delay, when every engine would start it too late', (t) => {
      const state = createSchedulingState('vm-1');
      engines.forEach(({ id }) => send(state, id, 60_000));
      const placement = place(state, draft, 0);
      if (placement.kind !== 'refuse') return t.fail('expected a refusal');
      t.is(placement.reason, 'too-late');
      t.true(placement.retryAfterMs > 0);
      return t.true(placement.retryAfterMs <= draft.remainingMs / 3);
    });

    it('avoids an engine that still has many decode-bound streams', (t) => {
      const state = createSchedulingState('vm-1');
      const now = recordArrivals(state, 40, 40);
      const { own } = divideEngines(state, 'engines', engines, 'prefill', now);
      const preferred = place(state, draft, now);
      if (preferred.kind !== 'send') return t.fail('expected a placement');
      for (let sent = 0; sent < 20; sent += 1) send(state, preferred.endpoint.id, 0, 'decode');
      const next = place(state, draft, now);
      t.not(next.kind === 'send' ? next.endpoint.id : null, preferred.endpoint.id);
      return t.true(next.kind === 'send' && own.some(({ id }) => id === next.endpoint.id));
    });

    it('allows one prompt per engine when every engine has decode-bound streams', (t) => {
      const state = createSchedulingState('vm-1');
      const now = recordArrivals(state, 40, 40);
      engines.forEach(({ id }) => {
        for (let sent = 0; sent < 20; sent += 1) send(state, id, 0, 'decode', now);
      });
      let placed = 0;
      for (let index = 0; index < 100; index += 1) {
        const placement = place(
          state,
          createJob({ size: createDraftSize(`digest-${index}`) }),
          now,
        );
        if (placement.kind === 'send') {
          send(state, placement.endpoint.id, placement.tokens, 'prefill', now);
          placed += 1;
        }
      }
      t.is(placed, engines.length, 'each engine reads one prompt, the others are refused');
    });

    it('is refused when its prefill would push the gaps of streams over their target', (t) => {
      const state = createSchedulingState('vm-1');
      const now = recordArrivals(state, 40, 40);
      engines.forEach(({ id }) => {
        for (let sent = 0; sent < 120; sent += 1) send(state, id, 0, 'decode', now);
      });
      const placement = place(state, createJob({ tokensPerEvent: 12 }), now);
      t.is(placement.kind, 'refuse');
    });

    it('uses the only assigned engine without decode-bound streams, whatever its segments', (t) => {
      const state = createSchedulingState('vm-1');
      const now = recordArrivals(state, 40, 20);
      const { own } = divideEngines(state, 'engines', engines, 'prefill', now);
      const [free, ...others] = own;
      others.forEach(({ id }) => {
        for (let sent = 0; sent < 20; sent += 1) send(state, id, 0, 'decode');
      });
      for (let index = 0; index < 32; index += 1) {
        const placement = place(
          state,
          createJob({ size: createDraftSize(`digest-${index}`) }),
          now,
        );
        t.is(placement.kind === 'send' ? placement.endpoint.id : placement.reason, free!.id);
      }
    });

    it('counts the load reported by peers until it is out of date', (t) => {
      const state = createSchedulingState('vm-1');
      const loads = new Map(
        engines.map(
          ({ id }) =>
            [
              id,
              { waiting: 20, streaming: 5, waitingTokens: 60_000, heldTokens: 100_000, tight: 0 },
            ] as const,
        ),
      );
      recordPeerWork(state, 'vm-2', {
        at: 0,
        loads,
        paces: new Map(),
        borders: new Map(),
        demand: new Map(),
      });
      t.is(place(state, draft, 100).kind, 'refuse');
      t.is(place(state, draft, 10_000).kind, 'send', 'an old report no longer counts');
    });
  });

  describe('of a decode-bound request', () => {
    it('uses the engine with the smallest batch', (t) => {
      const state = createSchedulingState('vm-1');
      engines.slice(1).forEach(({ id }) => {
        for (let sent = 0; sent < 3; sent += 1) recordFirstEvent(state, send(state, id, 10), 0);
      });
      const placement = place(state, headline, 0);
      t.is(placement.kind === 'send' ? placement.endpoint.id : null, engines[0]!.id);
    });

    it('keeps the batch of an engine with slower steps proportionally smaller', (t) => {
      const state = createSchedulingState('vm-1');
      const [slow, fast] = engines;
      const runStreams = (endpointId: string, slowdown: number) => {
        for (let run = 0; run < 40; run += 1) {
          const sent = send(state, endpointId, 0, 'decode');
          recordFirstEvent(state, sent, 100);
          // 50 gaps of 5 tokens; a step of a batch of one request is expected to take 4.1 ms.
          recordStepPace(state, sent, 51, 5, 100 + 50 * 5 * 4.1 * slowdown);
          recordEnd(state, sent);
        }
      };
      runStreams(slow!.id, 2);
      runStreams(fast!.id, 1);
      const now = 1200;
      const counts = new Map<string, number>([
        [slow!.id, 0],
        [fast!.id, 0],
      ]);
      for (let sent = 0; sent < 90; sent += 1) {
        const placement = place(state, headline, now, [slow!, fast!]);
        if (placement.kind !== 'send') return t.fail('expected a placement');
        const { id } = placement.endpoint;
        send(state, id, 0, 'decode', now);
        counts.set(id, counts.get(id)! + 1);
      }
      const ratio = counts.get(fast!.id)! / counts.get(slow!.id)!;
      return t.true(ratio > 1.6 && ratio < 2.4, `ratio ${ratio}`);
    });

    it('uses any engine with a free slot when the assigned ones are full', (t) => {
      const state = createSchedulingState('vm-1');
      const now = recordArrivals(state, 40, 40);
      const { own } = divideEngines(state, 'engines', engines, 'decode', now);
      own.forEach(({ id, slots }) => {
        for (let sent = 0; sent < slots; sent += 1) send(state, id, 0);
      });
      t.is(place(state, headline, now).kind, 'send');
    });
  });

  describe('of a plain request', () => {
    const plain = createJob({ size: null, targetMs: 193 });
    const near = createEndpoint('near', { slots: 6 });
    const far = createEndpoint('far', { slots: 6, zone: 'zone-b' });

    it('stays in the availability zone until the load there outweighs the zone penalty', (t) => {
      const state = createSchedulingState('vm-1');
      const first = place(state, plain, 0, [near, far]);
      t.is(first.kind === 'send' ? first.endpoint.id : null, 'near');
      for (let sent = 0; sent < 4; sent += 1) send(state, 'near', 0);
      const next = place(state, plain, 0, [near, far]);
      t.is(next.kind === 'send' ? next.endpoint.id : null, 'far');
    });

    it('avoids an endpoint with a much higher failure rate until that has decayed', (t) => {
      const state = createSchedulingState('vm-1');
      for (let answer = 0; answer < 6; answer += 1) recordOutcome(state, 'near', true, 0);
      const chosen = (now: number) => {
        const placement = place(state, plain, now, [near, far]);
        return placement.kind === 'send' ? placement.endpoint.id : null;
      };
      t.is(chosen(0), 'far');
      t.is(chosen(10_000), 'near');
    });

    it('is refused when there is no endpoint', (t) => {
      const placement = place(createSchedulingState('vm-1'), plain, 0, []);
      t.is(placement.kind === 'refuse' ? placement.reason : null, 'no-endpoint');
    });
  });

  describe('state after the restart of an endpoint', () => {
    it('has no cached segments or pace, but counts requests in flight until they end', (t) => {
      const state = createSchedulingState('vm-1');
      const preferred = place(state, draft, 0);
      if (preferred.kind !== 'send') return t.fail('expected a placement');
      const { id } = preferred.endpoint;
      recordReads(state.prefixCaches, id, draft.size!, 0);
      const sent = send(state, id, 100);
      recordFirstEvent(state, sent, 600);
      t.true(uncachedTokens(state.prefixCaches, id, draft.size!, 600) < draft.size!.promptTokens);
      t.true(meanFirstEventPace(state, id, 600) > 1.5);
      resetEndpointWork(state, id);
      t.is(uncachedTokens(state.prefixCaches, id, draft.size!, 600), draft.size!.promptTokens);
      t.is(meanFirstEventPace(state, id, 600), 1);
      recordEnd(state, sent);
      return t.deepEqual(totalLoad(state, id, 600), createWorkLoad());
    });
  });

  describe('load of an endpoint', () => {
    it('counts the first event and the end of a request only once', (t) => {
      const state = createSchedulingState('vm-1');
      const sent = send(state, 'engine-0', 100);
      recordFirstEvent(state, sent, 0);
      recordFirstEvent(state, sent, 0);
      t.deepEqual(totalLoad(state, 'engine-0', 0), { ...createWorkLoad(), streaming: 1 });
      recordEnd(state, sent);
      recordEnd(state, sent);
      t.deepEqual(totalLoad(state, 'engine-0', 0), createWorkLoad());
    });
  });
});

describe('placement among endpoints with limits', () => {
  const usedUp = (waits: Readonly<Record<string, number>>): RequestPermits => ({
    isPermitted: (id) => waits[id] === undefined,
    waitMs: (id) => waits[id] ?? 0,
  });
  const plain = createJob({ size: null });

  it('uses another endpoint while the limit of the best one is used up', (t) => {
    [headline, draft, plain].forEach((job) => {
      const state = createSchedulingState('vm-1');
      const best = place(state, job, 0);
      t.is(best.kind, 'send');
      const bestId = best.kind === 'send' ? best.endpoint.id : '';
      const other = place(state, job, 0, engines, usedUp({ [bestId]: 100 }));
      t.is(other.kind, 'send');
      if (other.kind === 'send') t.not(other.endpoint.id, bestId);
    });
  });

  it('refuses a request when all limits are used up, until the first allows it again', (t) => {
    const waits = Object.fromEntries(engines.map(({ id }, index) => [id, 400 + index]));
    [headline, draft, plain].forEach((job) => {
      const refusal = place(createSchedulingState('vm-1'), job, 0, engines, usedUp(waits));
      t.like(refusal, { kind: 'refuse', reason: 'limited' });
      if (refusal.kind !== 'refuse') return;
      t.true(refusal.retryAfterMs >= 200 && refusal.retryAfterMs <= 600);
    });
  });
});
