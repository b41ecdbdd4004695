import { describe, it, itSerial } from '@filbertlatch/core/testing';
import FakeTimers from '@sinonjs/fake-timers';

import { LoadReports, StepClock } from '../src/index.js';
import { Slots } from '../src/slots.js';
import { startSteps } from '../src/stepClock.js';

describe('StepClock', () => {
  it('makes up for the steps of a late timer, but not for those of a long pause', (t) => {
    const clock = new StepClock(10, 0);
    t.is(clock.take(10, 1), 1);
    t.is(clock.take(35, 1), 2);
    t.is(clock.take(40, 1), 1);
    t.is(clock.take(10_000, 1), 4);
    t.true(clock.take(10_010, 1) <= 2);
  });

  it('counts a tenth of the steps at a tenth of the speed', (t) => {
    const clock = new StepClock(10, 0);
    let steps = 0;
    for (let now = 10; now <= 1000; now += 10) steps += clock.take(now, 0.1);
    t.is(steps, 10);
  });
});

describe('LoadReports', () => {
  const measure = () => ({
    measuredAt: performance.timeOrigin + performance.now(),
    running: 1,
    waiting: 0,
    waitingTokens: 0,
    tokensPerSecond: 40,
    models: [],
  });

  it('gives the current load, or the oldest record when none is old enough', (t) => {
    const reports = new LoadReports(measure);
    reports.record();
    const first = reports.read(60_000);
    t.is(reports.read(2000), first);
    t.true(reports.read(0).measuredAt > first.measuredAt);
  });
});

describe('Slots', () => {
  it('gives a released slot to the next caller in order of arrival', async (t) => {
    const slots = new Slots(1);
    const ran: number[] = [];
    await slots.acquire();
    const later = [1, 2].map(async (index) => {
      await slots.acquire();
      ran.push(index);
      slots.release();
    });
    t.deepEqual(ran, []);
    slots.release();
    await Promise.all(later);
    t.deepEqual(ran, [1, 2]);
  });
});

describe('startSteps', () => {
  itSerial('keeps its phase after a late step', (t) => {
    const clock = FakeTimers.install({
      now: 0,
      toFake: ['setTimeout', 'clearTimeout', 'performance'],
    });
    t.teardown(() => clock.uninstall());
    const instants: number[] = [];
    const stop = startSteps(10, () => {
      instants.push(clock.now);
      // The second step blocks the event loop for 6 ms.
      if (instants.length === 2) clock.jump(6);
    });
    clock.tick(39);
    stop();
    clock.tick(50);
    t.deepEqual(instants, [10, 20, 30, 40]);
  });
});
