import { setTimeout as sleep } from 'node:timers/promises';

import { describe, itSerial } from '@filbertlatch/core/testing';

import { LEAVING_HEADER } from './fixtures.js';
import type { TermsEndpoint } from './termsEndpoint.js';
import { TermsFleet } from './termsFleet.js';

/** Time for the news to reach all VMs, and for requests on their way to arrive. */
const SETTLE_MS = 400;

const leaving = { status: 200, headers: { [LEAVING_HEADER]: '1' } };

async function withFleet(endpoints: number, use: (fleet: TermsFleet) => Promise<void>) {
  const fleet = new TermsFleet(endpoints);
  await fleet.start(10);
  try {
    await sleep(500);
    await use(fleet);
  } finally {
    await fleet.stop();
  }
}

/** Counts the requests of all VMs that reach an endpoint from `settleMs` on. */
async function countLateArrivals(endpoint: TermsEndpoint, settleMs = SETTLE_MS): Promise<number> {
  await sleep(settleMs);
  const before = endpoint.arrivals.length;
  await sleep(3000);
  return endpoint.arrivals.length - before;
}

describe('an endpoint that says in its answers that it leaves', () => {
  itSerial(
    'gets no more requests from any VM, though the store says that it is ready',
    async (t) => {
      await withFleet(3, async ({ endpoints, answers }) => {
        endpoints[0]!.termsFor = () => leaving;
        t.is(await countLateArrivals(endpoints[0]!), 0);
        t.true(answers.every(({ status }) => status === 200));
      });
    },
  );

  itSerial('gets no more requests when it refuses them too', async (t) => {
    await withFleet(3, async ({ endpoints }) => {
      endpoints[0]!.termsFor = () => ({
        status: 503,
        headers: { ...leaving.headers, 'x-not-run': '1' },
      });
      t.is(await countLateArrivals(endpoints[0]!), 0);
    });
  });

  itSerial(
    'gets no more requests when it is the last one, and callers are told early',
    async (t) => {
      await withFleet(1, async ({ endpoints, answers }) => {
        endpoints[0]!.termsFor = () => leaving;
        t.is(await countLateArrivals(endpoints[0]!), 0);
        const last = answers.at(-1)!;
        t.is(last.status, 503);
        t.true(Number(last.headers['retry-after']) > 0);
      });
    },
  );

  itSerial('is used again in its next lifetime', async (t) => {
    await withFleet(2, async ({ endpoints }) => {
      endpoints[0]!.termsFor = () => leaving;
      await sleep(SETTLE_MS);
      endpoints[0]!.termsFor = () => null;
      await endpoints[0]!.crash(20);
      t.true((await countLateArrivals(endpoints[0]!)) > 0);
    });
  });

  itSerial('gets no more requests when the store comes back with its entry', async (t) => {
    await withFleet(3, async ({ endpoints, store }) => {
      const copy = store.copy();
      endpoints[0]!.termsFor = () => leaving;
      await sleep(SETTLE_MS);
      endpoints[0]!.withdraw();
      await sleep(SETTLE_MS);
      store.comeBack(copy);
      t.is(await countLateArrivals(endpoints[0]!, 0), 0);
    });
  });

  itSerial('is used again when only a stray answer said so', async (t) => {
    await withFleet(1, async ({ endpoints, answers }) => {
      let told = 0;
      endpoints[0]!.termsFor = (vm) => {
        if (vm === '') return null;
        told += 1;
        return told === 1 ? leaving : null;
      };
      await sleep(1500);
      t.is(answers.at(-1)!.status, 200);
    });
  });
});

describe('an endpoint whose entry was dropped and comes back with an older copy of the store', () => {
  const healths = {
    'gets none while its health checks say that it leaves': leaving,
    'is used again once a health check says that it stays': null,
  };
  Object.entries(healths).forEach(([title, terms]) => {
    itSerial(title, async (t) => {
      await withFleet(3, async ({ endpoints, store }) => {
        const copy = store.copy();
        endpoints[0]!.withdraw();
        await sleep(SETTLE_MS);
        endpoints[0]!.termsFor = (vm) => (vm === '' ? terms : null);
        store.comeBack(copy);
        const arrivals = await countLateArrivals(endpoints[0]!, 0);
        t.log(arrivals);
        if (terms === null) t.true(arrivals > 0);
        else t.is(arrivals, 0);
      });
    });
  });
});
