import {
  beginStreaming,
  createRandom,
  createSchedulingState,
  createWorkLoad,
  divideEngines,
  endWork,
  forgetLifetime,
  learnPeerWork,
  noteArrival,
  observeOutcome,
  observeStream,
  paceOf,
  placeJob,
  recordPrompt,
  startWork,
  totalLoad,
  uncachedTokens,
  type Job,
  type RegisteredEndpoint,
  type SchedulingState,
  type WorkKind,
} from '../../src/index.js';
import { describe, it } from '../../src/testing/index.js';
import { createEndpoint, createJob, draftSize, headlineSize } from './fixtures.js';

const engines = Array.from({ length: 8 }, (_, index) => createEndpoint(`engine-${index}`));
const headline = createJob({
  routeId: 'headlines',
  priority: 0,
  size: headlineSize,
  targetMs: 300,
  gapTargetMs: 250,
});
const draft = createJob();

function place(
  state: SchedulingState,
  job: Job,
  now: number,
  endpoints: readonly RegisteredEndpoint[] = engines,
) {
  return placeJob({ state, endpoints, zone: 'zone-a', random: createRandom(7), now }, job);
}

/** Counts a request with so many tokens to read as sent. */
function send(
  state: SchedulingState,
  endpointId: string,
  tokens: number,
  kind: WorkKind = 'prefill',
  now = 0,
) {
  return startWork(state, { endpointId, tokens, predictedMs: 100, kind, size: null }, now);
}

/** Lets both kinds of work arrive evenly for two seconds. */
function warm(state: SchedulingState, draftsPerSecond: number, headlinesPerSecond: number) {
  for (let now = 0; now < 2000; now += 10) {
    if ((now * draftsPerSecond) % 1000 < 10 * draftsPerSecond) noteArrival(state, draft, now);
    if ((now * headlinesPerSecond) % 1000 < 10 * headlinesPerSecond) {
      noteArrival(state, headline, now);
    }
  }
  return 2000;
}

describe('placement', () => {
  describe('engines divided by demand', () => {
    it('keeps long prefills off the engines that run tight streams', (t) => {
      const state = createSchedulingState('vm-1');
      const now = warm(state, 40, 40);
      const decode = divideEngines(state, 'engines', engines, 'decode', now).own;
      const prefill = divideEngines(state, 'engines', engines, 'prefill', now).own;
      t.is(decode.length + prefill.length, engines.length);
      t.true(decode.every(({ id }) => !prefill.some((engine) => engine.id === id)));
    });

    it('moves the border with the demand', (t) => {
      const few = createSchedulingState('vm-1');
      const many = createSchedulingState('vm-1');
      const fewNow = warm(few, 80, 20);
      const manyNow = warm(many, 20, 80);
      const count = (state: SchedulingState, now: number) =>
        divideEngines(state, 'engines', engines, 'decode', now).own.length;
      t.true(count(few, fewNow) < count(many, manyNow));
      t.true(count(few, fewNow) >= 1);
      t.true(count(many, manyNow) < engines.length);
    });

    it('follows the border of the VM with the lowest id, while that tells one', (t) => {
      const state = createSchedulingState('vm-2');
      const now = warm(state, 40, 40);
      const tell = (peer: string, border: number) =>
        learnPeerWork(state, peer, {
          at: now,
          loads: new Map(),
          paces: new Map(),
          borders: new Map([['engines', border]]),
          demand: new Map(),
        });
      const count = (at: number) =>
        divideEngines(state, 'engines', engines, 'decode', at).own.length;
      tell('vm-3', 7);
      const own = count(now);
      t.not(own, 7);
      tell('vm-1', 1);
      t.is(count(now), 1);
    });

    it('gives all engines to a service with one kind of work', (t) => {
      const state = createSchedulingState('vm-1');
      noteArrival(state, draft, 0);
      t.is(divideEngines(state, 'engines', engines, 'prefill', 0).own.length, engines.length);
    });

    it('divides a single engine between both', (t) => {
      const state = createSchedulingState('vm-1');
      const now = warm(state, 40, 40);
      const one = engines.slice(0, 1);
      t.is(divideEngines(state, 'engines', one, 'decode', now).own.length, 1);
      t.is(divideEngines(state, 'engines', one, 'prefill', now).own.length, 1);
    });
  });

  describe('work limited by prefill', () => {
    it('sends prompts with the same shared part to the same engine', (t) => {
      const state = createSchedulingState('vm-1');
      const first = place(state, draft, 0);
      const again = place(state, createJob({ id: 'request-2' }), 0);
      t.is(first.kind, 'send');
      t.deepEqual(first, again);
    });

    it('spreads different shared parts', (t) => {
      const state = createSchedulingState('vm-1');
      const used = new Set<string>();
      for (let index = 0; index < 64; index += 1) {
        const placement = place(state, createJob({ size: draftSize(`digest-${index}`) }), 0);
        if (placement.kind === 'send') used.add(placement.endpoint.id);
      }
      t.is(used.size, engines.length);
    });

    it('leaves the home of a cached part when the queue there costs more than reading again', (t) => {
      const state = createSchedulingState('vm-1');
      const home = place(state, draft, 0);
      if (home.kind !== 'send') return t.fail('expected a placement');
      send(state, home.endpoint.id, 20_000);
      const next = place(state, draft, 0);
      if (next.kind !== 'send') return t.fail('expected a placement');
      t.not(next.endpoint.id, home.endpoint.id);
      return t.is(next.tokens, draft.size!.promptTokens);
    });

    it('refuses at once what cannot begin in time, and says when to come back', (t) => {
      const state = createSchedulingState('vm-1');
      engines.forEach(({ id }) => send(state, id, 60_000));
      const placement = place(state, draft, 0);
      if (placement.kind !== 'refuse') return t.fail('expected a refusal');
      t.is(placement.reason, 'too-late');
      t.true(placement.retryAfterMs > 0);
      return t.true(placement.retryAfterMs <= draft.remainingMs / 3);
    });

    it('waits for the streams of an engine that has just changed sides', (t) => {
      const state = createSchedulingState('vm-1');
      const now = warm(state, 40, 40);
      const { own } = divideEngines(state, 'engines', engines, 'prefill', now);
      const home = place(state, draft, now);
      if (home.kind !== 'send') return t.fail('expected a placement');
      for (let sent = 0; sent < 20; sent += 1) send(state, home.endpoint.id, 0, 'decode');
      const next = place(state, draft, now);
      t.not(next.kind === 'send' ? next.endpoint.id : null, home.endpoint.id);
      return t.true(next.kind === 'send' && own.some(({ id }) => id === next.endpoint.id));
    });

    it('reads prompts one at a time beside tight streams when no engine is free of them', (t) => {
      const state = createSchedulingState('vm-1');
      const now = warm(state, 40, 40);
      engines.forEach(({ id }) => {
        for (let sent = 0; sent < 20; sent += 1) send(state, id, 0, 'decode', now);
      });
      let placed = 0;
      for (let index = 0; index < 100; index += 1) {
        const placement = place(state, createJob({ size: draftSize(`digest-${index}`) }), now);
        if (placement.kind === 'send') {
          send(state, placement.endpoint.id, placement.tokens, 'prefill', now);
          placed += 1;
        }
      }
      t.is(placed, engines.length, 'each engine reads one prompt, the others are refused');
    });

    it('reads none beside so many streams that their pauses would grow too long', (t) => {
      const state = createSchedulingState('vm-1');
      const now = warm(state, 40, 40);
      engines.forEach(({ id }) => {
        for (let sent = 0; sent < 120; sent += 1) send(state, id, 0, 'decode', now);
      });
      const placement = place(state, createJob({ tokensPerEvent: 12 }), now);
      t.is(placement.kind, 'refuse');
    });

    it('goes to any engine that is free when none of its own is', (t) => {
      const state = createSchedulingState('vm-1');
      const now = warm(state, 40, 20);
      const { own } = divideEngines(state, 'engines', engines, 'prefill', now);
      const [free, ...others] = own;
      others.forEach(({ id }) => {
        for (let sent = 0; sent < 20; sent += 1) send(state, id, 0, 'decode');
      });
      for (let index = 0; index < 32; index += 1) {
        const placement = place(state, createJob({ size: draftSize(`digest-${index}`) }), now);
        t.is(placement.kind === 'send' ? placement.endpoint.id : placement.reason, free!.id);
      }
    });

    it('counts what peers sent', (t) => {
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
      learnPeerWork(state, 'vm-2', {
        at: 0,
        loads,
        paces: new Map(),
        borders: new Map(),
        demand: new Map(),
      });
      t.is(place(state, draft, 100).kind, 'refuse');
      t.is(place(state, draft, 10_000).kind, 'send', 'old news no longer counts');
    });
  });

  describe('work limited by decode', () => {
    it('takes the smallest batch', (t) => {
      const state = createSchedulingState('vm-1');
      engines.slice(1).forEach(({ id }) => {
        for (let sent = 0; sent < 3; sent += 1) beginStreaming(state, send(state, id, 10), 0);
      });
      const placement = place(state, headline, 0);
      t.is(placement.kind === 'send' ? placement.endpoint.id : null, engines[0]!.id);
    });

    it('gives an engine with slower steps a batch that is as much smaller', (t) => {
      const state = createSchedulingState('vm-1');
      const [slow, fast] = engines;
      const play = (endpointId: string, slowness: number) => {
        for (let run = 0; run < 40; run += 1) {
          const sent = send(state, endpointId, 0, 'decode');
          beginStreaming(state, sent, 100);
          // 5 tokens an event; one request more than none in a batch that is otherwise empty.
          observeStream(state, sent, 51, 5, 100 + 50 * 5 * 4.1 * slowness);
          endWork(state, sent);
        }
      };
      play(slow!.id, 2);
      play(fast!.id, 1);
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

    it('is not refused while any engine has a free slot', (t) => {
      const state = createSchedulingState('vm-1');
      const now = warm(state, 40, 40);
      const { own } = divideEngines(state, 'engines', engines, 'decode', now);
      own.forEach(({ id, slots }) => {
        for (let sent = 0; sent < slots; sent += 1) send(state, id, 0);
      });
      t.is(place(state, headline, now).kind, 'send');
    });
  });

  describe('plain requests', () => {
    const plain = createJob({ size: null, targetMs: 193 });
    const near = createEndpoint('near', { slots: 6 });
    const far = createEndpoint('far', { slots: 6, zone: 'zone-b' });

    it('stay in the zone while it has room and leave it when it has none', (t) => {
      const state = createSchedulingState('vm-1');
      const first = place(state, plain, 0, [near, far]);
      t.is(first.kind === 'send' ? first.endpoint.id : null, 'near');
      for (let sent = 0; sent < 4; sent += 1) send(state, 'near', 0);
      const next = place(state, plain, 0, [near, far]);
      t.is(next.kind === 'send' ? next.endpoint.id : null, 'far');
    });

    it('avoid an endpoint that fails much more often, until its failures have faded', (t) => {
      const state = createSchedulingState('vm-1');
      for (let answer = 0; answer < 6; answer += 1) observeOutcome(state, 'near', true, 0);
      const chosen = (now: number) => {
        const placement = place(state, plain, now, [near, far]);
        return placement.kind === 'send' ? placement.endpoint.id : null;
      };
      t.is(chosen(0), 'far');
      t.is(chosen(10_000), 'near');
    });

    it('are refused when there is no endpoint', (t) => {
      const placement = place(createSchedulingState('vm-1'), plain, 0, []);
      t.is(placement.kind === 'refuse' ? placement.reason : null, 'no-endpoint');
    });
  });

  describe('an endpoint that has started again under its id', () => {
    it('holds no parts of prompts, and its old pace no longer counts', (t) => {
      const state = createSchedulingState('vm-1');
      const home = place(state, draft, 0);
      if (home.kind !== 'send') return t.fail('expected a placement');
      const { id } = home.endpoint;
      recordPrompt(state.caches, id, draft.size!, 0);
      const sent = send(state, id, 100);
      beginStreaming(state, sent, 600);
      t.true(uncachedTokens(state.caches, id, draft.size!, 600) < draft.size!.promptTokens);
      t.true(paceOf(state, id, 600) > 1.5);
      forgetLifetime(state, id);
      t.is(uncachedTokens(state.caches, id, draft.size!, 600), draft.size!.promptTokens);
      t.is(paceOf(state, id, 600), 1);
      endWork(state, sent);
      return t.deepEqual(totalLoad(state, id, 600), createWorkLoad());
    });
  });

  describe('load', () => {
    it('counts a request once, whatever its end is told', (t) => {
      const state = createSchedulingState('vm-1');
      const sent = send(state, 'engine-0', 100);
      beginStreaming(state, sent, 0);
      beginStreaming(state, sent, 0);
      t.deepEqual(totalLoad(state, 'engine-0', 0), { ...createWorkLoad(), streaming: 1 });
      endWork(state, sent);
      endWork(state, sent);
      t.deepEqual(totalLoad(state, 'engine-0', 0), createWorkLoad());
    });
  });
});
