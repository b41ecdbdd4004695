import { createRetryAllowance, earnRepeat, takeRepeat } from '../../src/index.js';
import { describe, it } from '../../src/testing/index.js';

const VMS = 8;
const bounds = { ratio: 0.2, slack: 56, windowMs: 10_000 };

describe('retry allowance', () => {
  it('keeps all VMs together within the bound in every window, however they ask', (t) => {
    const fleet = Array.from({ length: VMS }, () => createRetryAllowance(bounds));
    const taken: number[] = [];
    const requests: number[] = [];
    for (let now = 0; now < 40_000; now += 10) {
      fleet.forEach((allowance) => {
        if (now % 50 === 0) {
          earnRepeat(allowance, 'engines', now);
          requests.push(now);
        }
        if (takeRepeat(allowance, 'engines', VMS, now)) taken.push(now);
      });
    }
    for (let start = 0; start + bounds.windowMs <= 40_000; start += 500) {
      const inWindow = (at: number) => at >= start && at < start + bounds.windowMs;
      const most = bounds.ratio * requests.filter(inWindow).length + bounds.slack;
      t.true(taken.filter(inWindow).length <= most, `window at ${start}`);
    }
    t.true(taken.length > 0);
  });

  it('lets a busy VM resume all streams of an endpoint that crashed', (t) => {
    const allowance = createRetryAllowance(bounds);
    for (let now = 0; now < 10_000; now += 50) earnRepeat(allowance, 'engines', now);
    const resumed = Array.from({ length: 15 }, () => takeRepeat(allowance, 'engines', VMS, 10_000));
    t.true(resumed.every(Boolean));
  });

  it('keeps services apart', (t) => {
    const allowance = createRetryAllowance({ ratio: 0, slack: 2, windowMs: 10_000 });
    t.true(takeRepeat(allowance, 'a', 1, 0));
    t.false(takeRepeat(allowance, 'a', 1, 0));
    t.true(takeRepeat(allowance, 'b', 1, 0));
  });
});
