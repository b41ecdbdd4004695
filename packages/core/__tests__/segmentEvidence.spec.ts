import { describe, it } from '@filbertlatch/core/testing';

import {
  countSegments,
  createSegmentSuspectState,
  describeSegment,
  describeSegments,
  recordSegmentAnswer,
  recordSegmentCrash,
  removeExpiredSegments,
  type SegmentSuspectState,
} from '../src/index.js';

const SERVICE = 'drafting';

function crash(state: SegmentSuspectState, segmentIds: readonly string[], at: number): void {
  const times = { startedAt: at - 50, at };
  recordSegmentCrash(state, segmentIds, { endpointId: `e${at}`, serviceId: SERVICE, ...times });
}

describe('what a VM knows of a segment', () => {
  it('is the crashes since its latest answer, their source and the age of both', (t) => {
    const state = createSegmentSuspectState();
    crash(state, ['a', 'b'], 1000);
    crash(state, ['a'], 2000);
    recordSegmentAnswer(state, SERVICE, ['b'], 2500);
    t.deepEqual(describeSegment(state, SERVICE, 'a', 3000), {
      segmentId: 'a',
      crashes: 2,
      ownCrashes: 2,
      answeredAgoMs: null,
    });
    t.deepEqual(describeSegment(state, SERVICE, 'b', 3000), {
      segmentId: 'b',
      crashes: 0,
      ownCrashes: 0,
      answeredAgoMs: 500,
    });
    const [suspect, ...others] = describeSegments(state, 3000);
    t.is(others.length, 0);
    t.deepEqual(
      suspect?.crashes.map(({ ageMs, source }) => [ageMs, source]),
      [
        [2000, 'own'],
        [1000, 'own'],
      ],
    );
  });

  it('counts one crash for all requests that it ended', (t) => {
    const state = createSegmentSuspectState();
    const at = { endpointId: 'e1', serviceId: SERVICE };
    recordSegmentCrash(state, ['a'], { ...at, startedAt: 900, at: 1000 });
    recordSegmentCrash(state, ['a'], { ...at, startedAt: 700, at: 1010 });
    t.is(describeSegment(state, SERVICE, 'a', 2000).crashes, 1);
    recordSegmentCrash(state, ['a'], { ...at, startedAt: 1500, at: 1600 });
    t.is(describeSegment(state, SERVICE, 'a', 2000).crashes, 2);
  });

  it('is bounded, keeps what has most crashes and ends with its evidence', (t) => {
    const state = createSegmentSuspectState();
    crash(state, ['often'], 100);
    crash(state, ['often'], 200);
    for (let index = 0; index < 200; index += 1) {
      const ids = Array.from({ length: 1000 }, (_, place) => `${index}-${place}`);
      crash(state, ids, 1000 + index);
      recordSegmentAnswer(
        state,
        SERVICE,
        ids.map((id) => `sound-${id}`),
        1000,
      );
    }
    t.true(countSegments(state, 2000).recorded <= 2000);
    t.true(state.answeredAt.size <= 4096);
    t.is(describeSegment(state, SERVICE, 'often', 2000).crashes, 2);
    removeExpiredSegments(state, 700_000);
    t.is(countSegments(state, 700_000).recorded, 0);
  });
});
