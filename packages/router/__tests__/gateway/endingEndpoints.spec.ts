import { describe, it } from '@filbertlatch/core/testing';

import { checkRefusals, checkRefusedTotal } from './segmentChecks.js';
import { playSegments } from './segmentPlays.js';
import { basicSegmentScenario, type SegmentScenario } from './segmentScenario.js';

const scenarios: Readonly<Record<string, Partial<SegmentScenario>>> = {
  'beside heavy traffic with one first segment': { soundPerSecond: 100 },
  'beside light traffic': { soundPerSecond: 4 },
  'beside segments that are always new': { middle: 'new' },
  'where the service has three': { endpoints: 3, killEveryMs: 1200, downMs: [600, 1000] },
  'where the service has one': { endpoints: 1, killEveryMs: 2000, downMs: [300, 600] },
  'and fall silent': { end: 'silent', killEveryMs: 1500, downMs: [2500, 3000] },
};

describe('endpoints that end ten or twenty times for other reasons than a segment', () => {
  describe('make no segment refused for long', () => {
    Object.entries(scenarios).forEach(([title, changes], index) => {
      it(title, async (t) => {
        const scenario = {
          ...basicSegmentScenario,
          seed: index + 1,
          crashingSegments: 0,
          killEveryMs: 600,
          ...changes,
        };
        const outcome = await playSegments(t, scenario);
        checkRefusals(t, outcome);
        checkRefusedTotal(t, outcome, scenario.soundPerSecond);
      });
    });
  });
});
