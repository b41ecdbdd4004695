import { setTimeout as sleep } from 'node:timers/promises';

import { describe, it } from '@filbertlatch/core/testing';

import { MemoryWatch, readMemoryBytes } from '../src/memoryWatch.js';

describe('MemoryWatch', () => {
  const own = { name: 'vm-1', pid: process.pid };

  it('tells once of a process over the limit, with its peak', async (t) => {
    const watch = new MemoryWatch(1e6);
    watch.start([own, { ...own, name: 'vm-2', pid: null }]);
    await sleep(700);
    watch.stop();
    const { excesses, peaks } = watch.use;
    t.deepEqual(
      excesses.map(({ vm }) => vm),
      ['vm-1'],
    );
    t.true((peaks['vm-1'] ?? 0) >= process.memoryUsage.rss() / 2);
    t.deepEqual(Object.keys(peaks), ['vm-1']);
  });

  it('reads nothing of a process that has ended', async (t) => {
    t.is(await readMemoryBytes(2 ** 30), 0);
  });
});
