import { install } from '@sinonjs/fake-timers';
import test from 'ava';

/** Time that passes in a turn of the event loop at most, however long it takes. */
const TURN_MS = 5;

/**
 * Replaces the clock and the timers of this thread by ones that a busy machine doesn't make late: time
 * passes by a few milliseconds a turn of the event loop. Sockets are real. To be called before the tests of
 * a file are declared; the clock is restored after them.
 */
export function installTurnClock(): void {
  const { nodeTiming } = performance;
  const clock = install({
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance', 'Date'],
    shouldAdvanceTime: true,
    advanceTimeDelta: TURN_MS,
  });
  Object.defineProperty(performance, 'nodeTiming', { value: nodeTiming });
  test.after.always(() => {
    clock.uninstall();
  });
}
