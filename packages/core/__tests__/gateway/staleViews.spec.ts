import { describe, it } from '../../src/testing/index.js';
import { playStreamFleet } from './streamFleet.js';

/** First event within this time for this part of the streams, at engines with slots to spare. */
const TARGET_MS = 330;
const TARGET_PART = 0.95;

const engines = { engines: 15, slots: 16, utilization: 0.7, durationMs: 12_000 };

// In a large fleet a VM hears of the streams that others have sent once in half a second; all VMs
// would send theirs to the engine that seemed least busy, and fill its slots while others are free.
describe('streams of VMs that hear of each other late', () => {
  [6, 85].forEach((vms) => {
    [1, 2, 3].forEach((seed) => {
      it(`begin in time in a fleet of ${vms} VMs (seed ${seed})`, (t) => {
        const inTime = playStreamFleet({ vms, ...engines, seed }, TARGET_MS);
        t.true(inTime >= TARGET_PART, `${inTime}`);
      });
    });
  });
});
