import { once } from 'node:events';
import { connect, createServer, type AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { describe, itSerial } from '@filbertlatch/core/testing';

import { LoopDelay } from '../../src/gateway/loopDelay.js';
import { SilenceTimer } from '../../src/gateway/silenceTimer.js';

const BEAT_MS = 100;

/** Stops the event loop. */
function block(ms: number): void {
  const until = performance.now() + ms;
  while (performance.now() < until);
}

/** Runs a test with a loop delay that has heartbeats. */
async function withLoopDelay(run: (loopDelay: LoopDelay) => Promise<void>): Promise<void> {
  const loopDelay = new LoopDelay();
  const timer = setInterval(() => loopDelay.beat(), BEAT_MS);
  try {
    await sleep(3 * BEAT_MS);
    await run(loopDelay);
  } finally {
    clearInterval(timer);
  }
}

describe('the loop delay', () => {
  itSerial('shows a standstill until the sockets have been read', (t) =>
    withLoopDelay(async (loopDelay) => {
      const server = createServer();
      server.listen(0, '127.0.0.1');
      await once(server, 'listening');
      const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
      const [socket] = (await once(server, 'connection')) as [ReturnType<typeof connect>];
      const events: string[] = [];
      socket.on('data', () => events.push('data'));
      caller.write('x');
      block(600);
      t.true(loopDelay.unreadAgeMs >= 600);
      await new Promise<void>((resolve) => {
        loopDelay.whenOnTime(() => {
          events.push('on time');
          resolve();
        });
      });
      t.deepEqual(events, ['data', 'on time']);
      caller.destroy();
      server.close();
    }),
  );
});

describe('a silence timer', () => {
  itSerial('does not take a standstill of its own process for silence', (t) =>
    withLoopDelay(async (loopDelay) => {
      const startedAt = performance.now();
      const timer = new SilenceTimer(loopDelay);
      const fired = new Promise<number>((resolve) => {
        timer.start(400, () => resolve(performance.now()));
      });
      await sleep(50);
      block(1000);
      t.true((await fired) - startedAt >= 1250);
    }),
  );

  itSerial('does not call back before what arrived in a short standstill is read', (t) =>
    withLoopDelay(async (loopDelay) => {
      const server = createServer();
      server.listen(0, '127.0.0.1');
      await once(server, 'listening');
      const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
      const [socket] = (await once(server, 'connection')) as [ReturnType<typeof connect>];
      const events: string[] = [];
      socket.on('data', () => events.push('data'));
      const timer = new SilenceTimer(loopDelay);
      await new Promise<void>((resolve) => {
        timer.start(40, () => {
          events.push('silent');
          resolve();
        });
        setImmediate(() => {
          caller.write('x');
          block(100);
        });
      });
      caller.destroy();
      server.close();
      t.deepEqual(events, ['data', 'silent']);
    }),
  );

  itSerial('that is stopped does not call back', (t) =>
    withLoopDelay(async (loopDelay) => {
      const timer = new SilenceTimer(loopDelay);
      timer.start(30, () => t.fail());
      block(500);
      await sleep(0);
      timer.stop();
      await sleep(200);
      t.pass();
    }),
  );
});
