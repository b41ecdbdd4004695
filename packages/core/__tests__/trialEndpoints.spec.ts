import { describe, it } from '@filbertlatch/core/testing';

import { createSchedulingState, listTrialEndpoints } from '../src/index.js';

const NOW = 100_000;
const endpoints = ['silent-1', 'silent-2', 'alive-1', 'alive-2'].map((id) => ({ id }));

function listIds(silentMs: (id: string) => number): string[] {
  const heardAt = (id: string) => NOW - silentMs(id);
  const listed = listTrialEndpoints(createSchedulingState('vm-1'), endpoints, heardAt, NOW);
  return listed.map(({ id }) => id);
}

describe('a trial of a segment', () => {
  it('is not sent to an endpoint that has ended unnoticed beside others that are heard', (t) => {
    t.deepEqual(
      listIds((id) => (id.startsWith('silent') ? 1500 : 300)),
      ['alive-1', 'alive-2'],
    );
  });

  it('is sent to one of all where none was heard lately', (t) => {
    t.is(listIds(() => 60_000).length, endpoints.length);
  });
});
