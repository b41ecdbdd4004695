import { setTimeout as sleep } from 'node:timers/promises';

import { describe, it } from '@filbertlatch/core/testing';

import { now } from '../../src/clock.js';
import { checkEnd } from '../../src/gateway/endCheck.js';

/** Time from a crash until its port is closed. */
const CLOSED_MS = 25;

function fail(code: string): never {
  throw Object.assign(new Error(code), { code });
}

describe('the check of an end', () => {
  it('finds a port open that resets connections until it would be closed after a crash', async (t) => {
    const endedAt = now();
    let lastAt = 0;
    const finding = await checkEnd(async () => {
      lastAt = now();
      await sleep(1);
      return fail('ECONNRESET');
    }, endedAt);
    t.is(finding, 'open');
    t.true(lastAt >= endedAt + 30);
  });

  it('finds an end where a port resets connections before it is closed', async (t) => {
    const endedAt = now();
    let resets = 0;
    const finding = await checkEnd(async () => {
      if (now() >= endedAt + CLOSED_MS) return fail('ECONNREFUSED');
      resets += 1;
      return fail('ECONNRESET');
    }, endedAt);
    t.true(resets > 0);
    t.is(finding, 'ended');
  });

  it('finds nothing where a connection without a request is closed, not reset', async (t) => {
    const finding = await checkEnd(
      async (_timeoutMs, wasReset) => (wasReset ? null : fail('ECONNRESET')),
      now(),
    );
    t.is(finding, null);
  });

  it('finds nothing in a single reset, however late', async (t) => {
    const finding = await checkEnd(async () => fail('ECONNRESET'), now() - 245);
    t.is(finding, null);
  });
});
