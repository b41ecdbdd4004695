import { createRetryBudget, creditRequest, takeRetry } from '../../src/index.js';
import { describe, it } from '../../src/testing/index.js';

const VM_COUNT = 8;
const limits = { ratio: 0.2, slack: 56, windowMs: 10_000 };

describe('retry budget', () => {
  it('keeps the retries of all VMs within the limits in every window when each takes all it can', (t) => {
    const fleet = Array.from({ length: VM_COUNT }, () => createRetryBudget(limits));
    const taken: number[] = [];
    const requests: number[] = [];
    for (let now = 0; now < 40_000; now += 10) {
      fleet.forEach((budget) => {
        if (now % 50 === 0) {
          creditRequest(budget, 'engines', now);
          requests.push(now);
        }
        if (takeRetry(budget, 'engines', VM_COUNT, now)) taken.push(now);
      });
    }
    for (let start = 0; start + limits.windowMs <= 40_000; start += 500) {
      const inWindow = (at: number) => at >= start && at < start + limits.windowMs;
      const maxRetries = limits.ratio * requests.filter(inWindow).length + limits.slack;
      t.true(taken.filter(inWindow).length <= maxRetries, `window at ${start}`);
    }
    t.true(taken.length > 0);
  });

  it('lets a VM with many requests resume all streams of a crashed endpoint', (t) => {
    const budget = createRetryBudget(limits);
    for (let now = 0; now < 10_000; now += 50) creditRequest(budget, 'engines', now);
    const resumed = Array.from({ length: 15 }, () =>
      takeRetry(budget, 'engines', VM_COUNT, 10_000),
    );
    t.true(resumed.every(Boolean));
  });

  it('counts the retries of each service separately', (t) => {
    const budget = createRetryBudget({ ratio: 0, slack: 2, windowMs: 10_000 });
    t.true(takeRetry(budget, 'a', 1, 0));
    t.false(takeRetry(budget, 'a', 1, 0));
    t.true(takeRetry(budget, 'b', 1, 0));
  });
});
