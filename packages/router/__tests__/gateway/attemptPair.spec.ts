import { describe, itSerial } from '@filbertlatch/core/testing';
import FakeTimers from '@sinonjs/fake-timers';

import { now } from '../../src/clock.js';
import type { Attempt, AttemptObserver } from '../../src/gateway/attempt.js';
import { AttemptPair } from '../../src/gateway/attemptPair.js';
import { LoopDelay } from '../../src/gateway/loopDelay.js';

const head = { status: 200, headers: [] };
const bytes = Buffer.from('id: 1\n\n');

/** Time in which the endpoint before may work on after another goes on. */
const MAX_OVERLAP_MS = 400;

/** Time from one look at a held attempt to the next when timers are late. */
const LATE_LOOK_MS = 70;

/** A pair of attempts with a held one, and what became of it. */
class HeldPair {
  readonly events: string[] = [];

  isLost = true;

  /** What the exchange says of the second attempt. */
  maySucceed = true;

  /** When the second attempt left; epoch milliseconds, null before. */
  sentAt: number | null = null;

  readonly pair: AttemptPair;

  readonly observers: AttemptObserver[] = [];

  constructor(loopDelay: LoopDelay) {
    const record = (name: string) => () => {
      this.events.push(name);
    };
    this.pair = new AttemptPair(loopDelay, {
      isAwaited: () => true,
      isLost: () => this.isLost,
      isUseful: ({ status }) => status < 500,
      maySucceed: () => this.maySucceed,
      sent: record('sent'),
      wentOn: record('wentOn'),
      replaced: record('replaced'),
      heldEnded: record('heldEnded'),
      streamed: () => this.events.push('streamed') > 0,
      livedOn: record('livedOn'),
      streamEnded: record('streamEnded'),
      answered: record('answered'),
      notRun: record('notRun'),
      withheld: record('withheld'),
      refused: record('refused'),
      failed: record('failed'),
    });
    this.begin('first');
    this.pair.hold();
    this.begin('second');
  }

  begin(name: string): void {
    this.pair.begin((observer) => {
      this.observers.push(observer);
      const cancel = (outcome: string) => this.events.push(`${name} ${outcome}`);
      const startedAt = () => this.sentAt;
      return {
        name,
        isOver: false,
        cancel,
        get times() {
          return { startedAt: startedAt() };
        },
      } as unknown as Attempt;
    });
  }
}

const withPair = (
  test: (
    played: HeldPair,
    tick: (ms: number) => Promise<unknown>,
    jump: (ms: number) => void,
  ) => Promise<void>,
) =>
  (async () => {
    const loopDelay = new LoopDelay();
    loopDelay.stop();
    const clock = FakeTimers.install({
      toFake: ['setTimeout', 'clearTimeout', 'setImmediate', 'performance'],
    });
    try {
      await test(
        new HeldPair(loopDelay),
        (ms) => clock.tickAsync(ms),
        (ms) => clock.jump(ms),
      );
    } finally {
      clock.uninstall();
    }
  })();

describe('an attempt that is held while another is sent in its place', () => {
  itSerial('goes on when its bytes come first, and the other is cancelled before', (t) =>
    withPair(async ({ events, observers, pair }, tick) => {
      await tick(5000);
      observers[0]!.streamed(head, bytes);
      t.deepEqual(events, ['second abandoned', 'wentOn', 'streamed']);
      t.is(pair.held, null);
      t.like(pair.current, { name: 'first' });
    }),
  );

  itSerial('is given up before the first bytes of the other pass', (t) =>
    withPair(async ({ events, observers, pair }) => {
      observers[1]!.streamed(head, Buffer.alloc(0));
      t.like(pair.held, { name: 'first' });
      observers[1]!.streamed(head, bytes);
      t.deepEqual(events, ['streamed', 'replaced', 'streamed']);
      t.like(pair.current, { name: 'second' });
    }),
  );

  itSerial('is kept as long as there are no links, and 400 ms at most after that', (t) =>
    withPair(async (played, tick) => {
      await tick(9000);
      t.deepEqual(played.events, []);
      Object.assign(played, { isLost: false });
      await tick(200);
      t.deepEqual(played.events, []);
      await tick(MAX_OVERLAP_MS - 200);
      t.deepEqual(played.events, ['replaced']);
    }),
  );

  itSerial('is not kept beside one that was sent 400 ms ago, though there are no links', (t) =>
    withPair(async (played, tick) => {
      await tick(1000);
      Object.assign(played, { sentAt: now() });
      await tick(200);
      t.deepEqual(played.events, []);
      await tick(MAX_OVERLAP_MS - 200);
      t.deepEqual(played.events, ['replaced']);
    }),
  );

  itSerial('is not kept longer beside one that was sent since each timer is late', (t) =>
    withPair(async (played, tick, jump) => {
      Object.assign(played, { sentAt: now() });
      for (let waitedMs = LATE_LOOK_MS; waitedMs <= MAX_OVERLAP_MS; waitedMs += LATE_LOOK_MS) {
        jump(LATE_LOOK_MS - 1);
        await tick(1);
      }
      t.deepEqual(played.events, ['replaced']);
    }),
  );

  itSerial('goes on after 400 ms when nothing shows that the other will answer', (t) =>
    withPair(async (played, tick) => {
      Object.assign(played, { sentAt: now(), maySucceed: false });
      await tick(MAX_OVERLAP_MS);
      t.deepEqual(played.events, ['second abandoned', 'wentOn']);
      t.like(played.pair.current, { name: 'first' });
    }),
  );

  itSerial('is kept while one after the other refuses within that time', (t) =>
    withPair(async (played, tick) => {
      Object.assign(played, { sentAt: now() });
      for (let peers = 0; peers < 5; peers += 1) {
        await tick(200);
        played.observers.at(-1)!.notRun('out_of_touch');
        played.begin('next');
        Object.assign(played, { sentAt: now() });
      }
      t.false(played.events.includes('replaced'));
      await tick(MAX_OVERLAP_MS);
      t.is(played.events.at(-1), 'replaced');
    }),
  );

  itSerial('is left alone when the other is refused, and goes on from there', (t) =>
    withPair(async ({ events, observers, pair }) => {
      observers[1]!.notRun('out_of_touch');
      t.like(pair.goBack(), { name: 'first' });
      observers[0]!.streamed(head, bytes);
      t.deepEqual(events, ['notRun', 'streamed']);
    }),
  );

  const ends: Readonly<Record<string, (observer: AttemptObserver) => void>> = {
    'answers with an error': (observer) => observer.answered({ status: 502, headers: [] }, bytes),
    'is refused': (observer) => observer.notRun('status 503'),
    fails: (observer) =>
      observer.failed({ verdict: 'may-have-run', cause: 'broken', message: 'reset' }),
  };
  Object.entries(ends).forEach(([title, end]) => {
    itSerial(`leaves the other alone when it ${title}`, (t) =>
      withPair(async ({ events, observers, pair }) => {
        end(observers[0]!);
        t.is(pair.held, null);
        observers[1]!.streamed(head, bytes);
        t.deepEqual(events, ['heldEnded', 'streamed']);
      }),
    );
  });
});
