import { describe, it } from '@filbertlatch/core/testing';

import {
  announceTrial,
  classifySegments,
  countClassified,
  countSegmentRefusal,
  createSegmentSuspectState,
  endTrial,
  isExplainedCrash,
  MAX_FAILED_TRIALS,
  MAX_SEGMENT_ANSWERS,
  MAX_SEGMENT_CRASHES,
  recordFailedTrial,
  recordPeerFailedTrial,
  recordPeerSegmentAnswers,
  recordPeerSegmentCrashes,
  recordPeerTrial,
  recordSegmentAnswer,
  recordSegmentCrash,
  removeExpiredSegments,
  startTrial,
  takeFailedTrials,
  takeSegmentAnswers,
  takeSegmentCrashes,
  takeTrialAnnouncements,
  trialSettleMs,
  type SegmentSuspectState,
} from '../src/index.js';

const SERVICE = 'drafting';
const OTHER_SERVICE = 'canary';

function crash(
  state: SegmentSuspectState,
  segmentIds: readonly string[],
  at: number,
  endpointId = `e${at}`,
): void {
  const times = { startedAt: at - 50, at };
  recordSegmentCrash(state, segmentIds, { endpointId, serviceId: SERVICE, ...times });
}

function answer(state: SegmentSuspectState, segmentIds: readonly string[], at: number): void {
  recordSegmentAnswer(state, SERVICE, segmentIds, at);
}

function fail(state: SegmentSuspectState, subject: string, at: number, endpointId = 'e-tried') {
  recordFailedTrial(state, { subject, serviceId: SERVICE, endpointId, at });
}

function classify(
  state: SegmentSuspectState,
  segmentIds: readonly string[],
  now: number,
  serviceId = SERVICE,
) {
  return classifySegments(state, serviceId, segmentIds, now).kind;
}

/** Tells a peer all that a VM would tell in its next message. */
function tell(from: SegmentSuspectState, to: SegmentSuspectState, now: number): void {
  recordPeerSegmentCrashes(to, takeSegmentCrashes(from), now);
  recordPeerSegmentAnswers(to, takeSegmentAnswers(from));
  takeFailedTrials(from).forEach((trial) => recordPeerFailedTrial(to, trial));
}

describe('a segment', () => {
  describe('is a suspect', () => {
    it('after two crashes without an answer between, on whatever VMs they were seen', (t) => {
      const [one, other] = [createSegmentSuspectState(), createSegmentSuspectState()];
      crash(one, ['bad', 'a'], 1000);
      crash(other, ['bad', 'b'], 1500);
      t.is(classify(one, ['a', 'bad'], 1600), 'sound');
      tell(other, one, 1600);
      t.is(classify(one, ['a', 'bad'], 1600), 'suspect');
      t.is(classify(one, ['a', 'b'], 1600), 'sound');
    });

    it('only after four crashes when it was answered shortly before them', (t) => {
      const state = createSegmentSuspectState();
      answer(state, ['shared'], 900);
      [1000, 1001, 1002].forEach((at) => crash(state, ['shared'], at));
      t.is(classify(state, ['shared'], 1100), 'sound');
      crash(state, ['shared'], 1003);
      t.is(classify(state, ['shared'], 1100), 'suspect');
    });

    it('at all services until an answer at each of them', (t) => {
      const state = createSegmentSuspectState();
      crash(state, ['bad'], 1000);
      crash(state, ['bad'], 2000);
      t.is(classify(state, ['bad'], 2100, OTHER_SERVICE), 'suspect');
      recordSegmentAnswer(state, OTHER_SERVICE, ['bad'], 2200);
      t.is(classify(state, ['bad'], 2300, OTHER_SERVICE), 'sound');
      t.is(classify(state, ['bad'], 2300), 'suspect');
    });
  });

  describe('is sound again', () => {
    it('with an answer, on all VMs, also when old crashes are reported after it', (t) => {
      const [one, other] = [createSegmentSuspectState(), createSegmentSuspectState()];
      crash(one, ['a'], 1000);
      crash(one, ['a'], 2000);
      const crashes = takeSegmentCrashes(one);
      recordPeerSegmentCrashes(other, crashes, 2000);
      answer(one, ['a'], 2500);
      tell(one, other, 2500);
      recordPeerSegmentCrashes(other, crashes, 2500);
      t.is(classify(other, ['a'], 2600), 'sound');
    });

    it('when another one explains its crashes, also those that are reported later', (t) => {
      const state = createSegmentSuspectState();
      crash(state, ['bad', 'beside'], 1000, 'e1');
      crash(state, ['bad', 'beside'], 2000, 'e2');
      crash(state, ['bad'], 2400, 'e-tried');
      fail(state, 'bad', 2500);
      t.is(classify(state, ['beside'], 2600), 'sound');
      crash(state, ['beside', 'other'], 2010, 'e2');
      crash(state, ['other'], 1010, 'e1');
      t.is(classify(state, ['other'], 2600), 'sound');
      t.true(isExplainedCrash(state, { endpointId: 'e1', startedAt: 900, at: 1010 }));
      t.false(isExplainedCrash(state, { endpointId: 'e3', startedAt: 900, at: 1010 }));
    });

    it('after ten minutes without a further crash', (t) => {
      const state = createSegmentSuspectState();
      crash(state, ['a'], 1000);
      crash(state, ['a'], 2000);
      removeExpiredSegments(state, 700_000);
      t.is(classify(state, ['a'], 700_000), 'sound');
    });
  });

  describe('whose trial failed', () => {
    it('is refused for longer each time, and one trial is due after it', (t) => {
      const state = createSegmentSuspectState();
      crash(state, ['bad'], 1000);
      crash(state, ['bad'], 2000);
      let now = 2500;
      for (const delayMs of [2000, 30_000, 180_000]) {
        fail(state, 'bad', now);
        t.is(classify(state, ['bad'], now + delayMs - 1), 'refused');
        t.is(classify(state, ['bad'], now + delayMs), 'suspect');
        now += delayMs;
      }
    });

    it('after many crashes is not tried again soon', (t) => {
      const state = createSegmentSuspectState();
      [1000, 1200, 1400, 1600].forEach((at) => crash(state, ['bad'], at));
      fail(state, 'bad', 2500);
      t.is(classify(state, ['bad'], 32_000), 'refused');
      t.is(classify(state, ['bad'], 33_000), 'suspect');
    });

    it('is tried again soon when all requests have it', (t) => {
      const state = createSegmentSuspectState();
      [1000, 1200, 1400, 1600].forEach((at) => crash(state, ['first'], at));
      fail(state, 'first', 2500);
      for (let index = 0; index < 30; index += 1) {
        countClassified(state);
        countSegmentRefusal(state, 'first');
      }
      t.is(classify(state, ['first'], 4400), 'refused');
      t.is(classify(state, ['first'], 4600), 'suspect');
      for (let index = 0; index < 10; index += 1) countClassified(state);
      t.is(classify(state, ['first'], 4600), 'refused');
    });

    it('comes back after an hour at the cost of one endpoint', (t) => {
      const state = createSegmentSuspectState();
      crash(state, ['bad'], 1000);
      crash(state, ['bad'], 2000);
      fail(state, 'bad', 2500);
      removeExpiredSegments(state, 3_600_000);
      t.is(classify(state, ['bad'], 3_600_000), 'suspect');
    });

    it('is sound after an answer and starts anew', (t) => {
      const state = createSegmentSuspectState();
      crash(state, ['bad'], 1000);
      crash(state, ['bad'], 2000);
      fail(state, 'bad', 2500);
      answer(state, ['bad'], 8000);
      t.is(classify(state, ['bad'], 8100), 'sound');
      crash(state, ['bad'], 9000);
      t.is(classify(state, ['bad'], 9100), 'sound');
    });

    it('is told to VMs that have started anew, and repetitions do not delay the next one', (t) => {
      const [one, other] = [createSegmentSuspectState(), createSegmentSuspectState()];
      crash(one, ['bad'], 1000);
      crash(one, ['bad'], 2000);
      fail(one, 'bad', 2500);
      for (let round = 0; round < 40; round += 1) {
        // Each hop takes a little time, which ages do not contain.
        takeFailedTrials(one).forEach((trial) => {
          recordPeerFailedTrial(other, { ...trial, at: trial.at + round });
        });
        takeFailedTrials(other).forEach((trial) => {
          recordPeerFailedTrial(one, { ...trial, at: trial.at + round });
        });
      }
      t.is(classify(other, ['bad'], 4400), 'refused');
      t.is(classify(other, ['bad'], 5100), 'suspect');
      t.is(classify(one, ['bad'], 5100), 'suspect');
    });
  });

  it('tried at an endpoint that another one crashed is not refused for it', (t) => {
    const [one, other] = [createSegmentSuspectState(), createSegmentSuspectState()];
    [one, other].forEach((state) => {
      [1000, 2000].forEach((at) => crash(state, ['bad', 'beside'], at));
      crash(state, ['bad'], 2400, 'e-tried');
    });
    fail(one, 'beside', 2450);
    t.is(classify(one, ['beside'], 2500), 'refused');
    fail(other, 'bad', 2450);
    tell(other, one, 2500);
    tell(one, other, 2500);
    t.is(classify(one, ['beside'], 2600), 'sound');
    t.is(classify(other, ['beside'], 2600), 'sound');
    t.is(classify(one, ['bad'], 2600), 'refused');
  });

  it('that comes only beside another suspect is tried with it, then by itself', (t) => {
    const state = createSegmentSuspectState();
    crash(state, ['bad', 'beside'], 1000);
    crash(state, ['bad', 'beside'], 2000);
    const verdict = classifySegments(state, SERVICE, ['bad', 'beside'], 2100);
    t.is(verdict.kind, 'suspect');
    fail(state, verdict.kind === 'sound' ? '' : verdict.subject, 2500);
    t.is(classify(state, ['bad', 'beside'], 2600), 'refused');
    t.is(classify(state, ['beside', 'other'], 2600), 'suspect');
    answer(state, ['beside'], 2700);
    t.is(classify(state, ['beside', 'other'], 2800), 'sound');
    t.is(classify(state, ['bad', 'beside'], 2800), 'suspect');
  });
});

describe('a trial', () => {
  const announced = (holder: string, isRunning = false) => ({
    segmentId: 'bad',
    holder,
    isRunning,
    suspects: 1,
    endsAt: 2000,
  });

  function exchangeNews(vms: readonly { vmId: string; state: SegmentSuspectState }[], now: number) {
    vms.forEach(({ state: from, vmId }) => {
      const news = takeTrialAnnouncements(from, vmId, now);
      vms.forEach(({ state, vmId: own }) => {
        news.forEach((trial) => recordPeerTrial(state, trial, own, now));
      });
    });
  }

  const createVms = (...vmIds: string[]) =>
    vmIds.map((vmId) => ({ vmId, holder: `${vmId}/1`, state: createSegmentSuspectState() }));

  it('starts on one VM of those that announce it at the same time', (t) => {
    const vms = createVms('vm-1', 'vm-2', 'vm-3');
    vms.forEach(({ state, holder }) => announceTrial(state, ['bad'], holder, 1000));
    exchangeNews(vms, 1010);
    const started = vms.filter(({ state, holder }) => startTrial(state, ['bad'], holder, 1200));
    t.is(started.length, 1);
  });

  it('of one suspect goes before that of the same one and another together', (t) => {
    const vms = createVms('vm-1', 'vm-2', 'vm-3', 'vm-4');
    vms.forEach(({ state, holder }, index) => {
      announceTrial(state, index === 2 ? ['first'] : ['first', 'bad'], holder, 1000);
    });
    exchangeNews(vms, 1010);
    const started = vms.filter(({ state, holder }, index) =>
      startTrial(state, index === 2 ? ['first'] : ['first', 'bad'], holder, 1200),
    );
    t.deepEqual(
      started.map(({ vmId }) => vmId),
      ['vm-3'],
    );
  });

  it('that runs keeps all others from starting until nobody announces it any more', (t) => {
    const state = createSegmentSuspectState();
    recordPeerTrial(state, announced('vm-2/1', true), 'vm-1', 1500);
    t.false(announceTrial(state, ['bad'], 'vm-1/1', 1900));
    t.true(announceTrial(state, ['bad'], 'vm-1/1', 2100));
    t.true(startTrial(state, ['bad'], 'vm-1/1', 2300));
    t.false(announceTrial(state, ['bad'], 'vm-1/2', 2300));
    t.false(startTrial(state, ['bad'], 'vm-1/2', 2500));
  });

  it('that ends may be followed by another', (t) => {
    const state = createSegmentSuspectState();
    announceTrial(state, ['bad'], 'vm-1/1', 1000);
    startTrial(state, ['bad'], 'vm-1/1', 1200);
    endTrial(state, 'vm-2/1');
    t.false(announceTrial(state, ['bad'], 'vm-1/2', 1300));
    endTrial(state, 'vm-1/1');
    t.true(announceTrial(state, ['bad'], 'vm-1/2', 1300));
  });

  it('does not hold for longer than announced, whatever a peer says', (t) => {
    const state = createSegmentSuspectState();
    const absurd = { ...announced('vm-2/1', true), endsAt: 1e15 };
    recordPeerTrial(state, absurd, 'vm-1', 1500);
    t.true(announceTrial(state, ['bad'], 'vm-1/1', 3000));
    t.true(trialSettleMs(330) <= 500);
  });
});

describe('what VMs tell each other of segments', () => {
  it('is bounded in each message and in memory, and tells suspects among thousands', (t) => {
    const [one, other] = [createSegmentSuspectState(), createSegmentSuspectState()];
    for (let index = 0; index < 300; index += 1) {
      const ids = Array.from({ length: 40 }, (_, place) => `${index}-${place}`);
      crash(one, index % 20 === 0 ? ['bad', ...ids] : ids, 1000 + index);
      const crashes = takeSegmentCrashes(one);
      t.true(crashes.length <= MAX_SEGMENT_CRASHES);
      recordPeerSegmentCrashes(other, crashes, 1300);
    }
    t.is(classify(other, ['bad'], 1300), 'suspect');
    t.true(one.histories.size <= 2000);
    t.true(other.histories.size <= 2000);
    for (let index = 0; index < 300; index += 1) {
      fail(one, `suspect-${index}`, 2000);
      crash(one, [`sound-${index}`], 2000 + index);
    }
    answer(
      one,
      Array.from({ length: 60 }, (_, index) => `sound-${index}`),
      3000,
    );
    t.true(takeSegmentAnswers(one).length <= MAX_SEGMENT_ANSWERS);
    t.true(takeFailedTrials(one).length <= MAX_FAILED_TRIALS);
    t.true(one.unsentCrashes.length <= 512);
  });

  it('reaches all of 330 VMs, of which each tells 16 at a time, within a second', (t) => {
    const vms = Array.from({ length: 330 }, () => createSegmentSuspectState());
    crash(vms[0]!, ['bad'], 1000);
    crash(vms[0]!, ['bad'], 1500);
    for (let round = 0; round < 10; round += 1) {
      vms.forEach((from, index) => {
        const first = (index * 17 + round * 53) % vms.length;
        const crashes = takeSegmentCrashes(from);
        for (let step = 0; step < 16; step += 1) {
          const to = vms[(first + step) % vms.length]!;
          recordPeerSegmentCrashes(to, crashes, 1600 + round * 100);
        }
      });
    }
    t.true(vms.every((state) => classify(state, ['bad'], 2600) === 'suspect'));
  });
});
