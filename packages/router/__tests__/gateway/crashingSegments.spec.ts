import { describe, it } from '@filbertlatch/core/testing';

import { checkOutcome } from './segmentChecks.js';
import { playSegments } from './segmentPlays.js';
import { basicSegmentScenario, type SegmentScenario } from './segmentScenario.js';

const scenarios: Readonly<Record<string, Partial<SegmentScenario>>> = {
  'in the middle, crash after the head': {},
  'in the first place, crash before any byte': { place: 'first', crashAt: 'before' },
  'next to the last of eight, crash after the first event': {
    place: 'next-to-last',
    segments: 8,
    crashAt: 'event',
    isResumable: true,
  },
  'after the first event, and the connections just close': {
    crashAt: 'event',
    end: 'close',
    framing: 'none',
  },
  'of two, beside segments that are always new': { place: 'first', segments: 2, middle: 'new' },
  'and the endpoint falls silent for longer than callers wait': {
    end: 'silent',
    downMs: [6000, 7000],
    leaseMs: 5000,
    timeoutMs: 6000,
    endpoints: 14,
    lengthMs: 24_000,
  },
  'in two requests in five seconds': {
    crashingEveryMs: [2400, 2600],
    resends: false,
    lengthMs: 24_000,
  },
  'ten times a second, while first events are slow': {
    crashingEveryMs: [90, 110],
    firstEventMs: [400, 900],
    endpoints: 12,
  },
};

describe('a segment of prompts, no two alike, that crashes endpoints that begin to answer', () => {
  describe('is stopped on all VMs, and requests beside it are served,', () => {
    Object.entries(scenarios).forEach(([title, changes], index) => {
      it(title, async (t) => {
        const scenario = { ...basicSegmentScenario, seed: index + 1, ...changes };
        const outcome = await playSegments(t, scenario);
        checkOutcome(t, outcome);
        t.true(outcome.crashes > 0);
      });
    });
  });
});
