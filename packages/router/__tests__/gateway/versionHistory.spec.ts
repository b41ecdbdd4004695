import { describe, it } from '@filbertlatch/core/testing';

import { HistoryLostError, type PublicationSource } from '../../src/gateway/index.js';
import { readVersionHistory } from '../../src/gateway/versionHistory.js';
import { createSource, testConfiguration } from './fixtures.js';

function createHistory(keptFrom: number, calls: number[]): PublicationSource {
  return {
    ...createSource(testConfiguration, []),
    watch: (_part, after) => {
      calls.push(after);
      if (after < keptFrom) return Promise.reject(new HistoryLostError('gone'));
      return Promise.resolve({ entries: [{ id: `from ${after}`, text: null }], revision: 5000 });
    },
    measureSpan: (entries) => entries.length * 1000,
  };
}

const { signal } = new AbortController();

describe('the history of versions', () => {
  it('covers all time when the store has kept everything', async (t) => {
    const calls: number[] = [];
    const { entries, spanMs } = await readVersionHistory(createHistory(0, calls), 1000, signal);
    t.deepEqual(calls, [936, 744, 0]);
    t.is(spanMs, Number.POSITIVE_INFINITY);
    t.is(entries[0]!.id, 'from 0');
  });

  it('covers the time between the changes that are kept', async (t) => {
    const calls: number[] = [];
    const { entries, spanMs } = await readVersionHistory(createHistory(4000, calls), 5000, signal);
    t.deepEqual(calls, [4936, 4744, 3976]);
    t.is(spanMs, 1000);
    t.is(entries[0]!.id, 'from 4744');
  });

  it('covers nothing when no change is kept', async (t) => {
    const { entries, spanMs } = await readVersionHistory(createHistory(9000, []), 5000, signal);
    t.deepEqual(entries, []);
    t.is(spanMs, 0);
  });

  it('is not known while the store does not answer', async (t) => {
    const source = createHistory(0, []);
    const watch = () => Promise.reject(new Error('status 503'));
    await t.throwsAsync(readVersionHistory({ ...source, watch }, 5000, signal), { message: /503/ });
  });
});
