import { describe, it } from '@filbertlatch/core/testing';

import { checkOutcome } from './segmentChecks.js';
import { playSegments } from './segmentPlays.js';
import { basicSegmentScenario, type SegmentScenario } from './segmentScenario.js';

const scenarios: Readonly<Record<string, Partial<SegmentScenario>>> = {
  'at one VM of eight': { vms: 8, crashingVms: 1 },
  'ten times a second, at one VM of eight': { vms: 8, crashingVms: 1, crashingEveryMs: [90, 110] },
  'beside two others, each with a companion': {
    crashingSegments: 3,
    companions: 0.8,
    endpoints: 12,
    crashingEveryMs: [600, 900],
  },
  'while messages between VMs are lost': { peerLoss: 0.3, vms: 8 },
  'while VMs restart in turn': { restart: 'in-turn', restartAtMs: 5000, lengthMs: 21_000 },
  'while VMs are cut off from peers': { cutOffMs: 1500, vms: 6 },
  'while endpoints end for other reasons': { killEveryMs: 700, crashingEveryMs: [600, 900] },
  'before all VMs restart': { restart: 'together', restartAtMs: 8000, lengthMs: 20_000 },
  'under the same id, while the store is away': { identity: 'kept', storeSilentAtMs: 3000 },
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
