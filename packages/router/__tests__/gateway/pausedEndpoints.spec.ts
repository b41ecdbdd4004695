import { setTimeout as sleep } from 'node:timers/promises';

import { describe, itSerial } from '@filbertlatch/core/testing';

import { PAUSE_HEADER } from './fixtures.js';
import type { AnswerTerms, TermsEndpoint } from './termsEndpoint.js';
import { TermsFleet } from './termsFleet.js';

/** Time after a refusal from which requests count. */
const GRACE_MS = 500;

/** Requests of a VM that may reach an endpoint within a pause. */
const MAX_ARRIVALS = 2;

const refuse = (seconds: string, hasNotRun = true): AnswerTerms => ({
  status: 503,
  headers: { [PAUSE_HEADER]: seconds, ...(hasNotRun ? { 'x-not-run': '1' } : {}) },
});

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

/** Returns the most requests of one VM that reached one of the endpoints in the rest of a pause. */
function countMostArrivals(
  endpoints: readonly TermsEndpoint[],
  from: number,
  to: number,
  vms = ['vm-0', 'vm-1', 'vm-2', 'vm-3'],
): number {
  const counts = endpoints.flatMap(({ arrivals }) =>
    vms.map((name) => arrivals.filter(({ at, vm }) => vm === name && at > from && at < to).length),
  );
  return Math.max(...counts);
}

describe('an endpoint that refuses requests and says for how long', () => {
  const titles: Readonly<Record<string, AnswerTerms>> = {
    'as not run': refuse('2'),
    'without saying that they have not run': refuse('2', false),
    'with a fraction': refuse('2.25'),
  };
  Object.entries(titles).forEach(([title, terms]) => {
    itSerial(`gets no request from that VM meanwhile (${title})`, async (t) => {
      await withFleet(3, async (fleet) => {
        const since = performance.now();
        fleet.endpoints[0]!.termsFor = () => terms;
        await sleep(2000);
        const [told] = fleet.endpoints;
        const most = countMostArrivals([told!], since + GRACE_MS + 100, since + 1900);
        t.true(most <= MAX_ARRIVALS, `${most} arrivals`);
      });
    });
  });

  itSerial('is used as before by the VMs that it has not told', async (t) => {
    await withFleet(2, async (fleet) => {
      const since = performance.now();
      fleet.endpoints[0]!.termsFor = (vm) => (vm === 'vm-0' ? refuse('3') : null);
      await sleep(2500);
      const to = performance.now();
      t.true(
        countMostArrivals(fleet.endpoints, since + GRACE_MS + 100, to, ['vm-1']) > MAX_ARRIVALS,
      );
      const toOne = fleet.endpoints[0]!.arrivals.filter(
        ({ at, vm }) => vm === 'vm-0' && at > since + GRACE_MS + 100,
      );
      t.true(toOne.length <= MAX_ARRIVALS);
    });
  });

  itSerial(
    'is one of all that do so: callers are told early, and it is used when the pause ends',
    async (t) => {
      await withFleet(2, async (fleet) => {
        const since = performance.now();
        fleet.endpoints.forEach((endpoint) => {
          endpoint.termsFor = () => refuse('2');
        });
        await sleep(1900);
        t.true(
          countMostArrivals(fleet.endpoints, since + GRACE_MS + 100, since + 1900) <= MAX_ARRIVALS,
        );
        const refused = fleet.answers.filter(({ at }) => at > since + GRACE_MS + 100);
        const slow = refused.filter(({ status, tookMs }) => status !== 503 || tookMs >= 500);
        t.deepEqual(slow, []);
        const delays = refused.map(({ headers }) => Number(headers['retry-after']));
        t.true(Math.max(...delays) - Math.min(...delays) > 0.1, delays.join());
        fleet.endpoints.forEach((endpoint) => {
          endpoint.termsFor = () => null;
        });
        await sleep(900);
        t.is(fleet.answers.at(-1)!.status, 200);
      });
    },
  );

  for (const value of ['-5', '1e9', 'soon', 'Fri, 04 Dec 2037 12:00:00 GMT', '']) {
    itSerial(`is used again after a value that cannot be meant (${value})`, async (t) => {
      await withFleet(1, async (fleet) => {
        fleet.endpoints[0]!.termsFor = () => refuse(value);
        await sleep(300);
        fleet.endpoints[0]!.termsFor = () => null;
        await sleep(2500);
        t.is(fleet.answers.at(-1)!.status, 200);
      });
    });
  }

  itSerial('is not taken for failing', async (t) => {
    await withFleet(3, async (fleet) => {
      fleet.endpoints[0]!.termsFor = () => refuse('1');
      await sleep(800);
      fleet.endpoints[0]!.termsFor = () => null;
      await sleep(1300);
      const before = fleet.endpoints[0]!.arrivals.length;
      await sleep(500);
      t.true(fleet.endpoints[0]!.arrivals.length > before + 5);
    });
  });
});
