import {
  countLimitedEndpoints,
  createRequestLimitState,
  createRequestPermits,
  describeRequestLimit,
  divideRequestLimits,
  getRequestLimit,
  recordLimitedSend,
  recordNamedLimit,
  recordPeerLimits,
  recordPeerSends,
  recordServiceArrival,
  recordUnlimitedAnswer,
  removeStaleLimits,
  resetRequestLimit,
  takeLimitReports,
  takeSendReports,
  timeToHealthCheck,
  type RequestLimitState,
} from '../../src/index.js';
import { describe, it } from '../../src/testing/index.js';

const urgent = { serviceId: 's1', priority: 0 };
const lessUrgent = { serviceId: 's1', priority: 3 };

const answerTo = (sentAt: number) => ({ endpointId: 'e1', sentAt });

describe('the limit that an endpoint names', () => {
  it('is known with its age, its source and what was sent', (t) => {
    const state = createRequestLimitState('vm-1');
    recordLimitedSend(state, 'e1', 900);
    t.true(recordNamedLimit(state, answerTo(900), 2.5, 1000));
    t.false(recordNamedLimit(state, answerTo(950), 2.5, 1100));
    recordLimitedSend(state, 'e1', 1500);
    const known = { perSecond: 2.5, toldTo: 'vm-1', ageMs: 400, sends: 1 };
    t.like(describeRequestLimit(state, 'e1', 1500), known);
    t.is(countLimitedEndpoints(state), 1);
  });

  it('falls with any answer, and rises only with one to a request sent since', (t) => {
    const state = createRequestLimitState('vm-1');
    recordNamedLimit(state, answerTo(0), 5, 1000);
    t.true(recordNamedLimit(state, answerTo(0), 2, 1010));
    t.false(recordNamedLimit(state, answerTo(1000), 5, 1020));
    t.is(getRequestLimit(state, 'e1'), 2);
    t.true(recordNamedLimit(state, answerTo(1010), 5, 1100));
    t.is(getRequestLimit(state, 'e1'), 5);
  });

  it('ends with an answer without it to a request sent since', (t) => {
    const state = createRequestLimitState('vm-1');
    t.false(recordUnlimitedAnswer(state, answerTo(900), 990));
    recordNamedLimit(state, answerTo(900), 5, 1000);
    t.false(recordUnlimitedAnswer(state, answerTo(950), 1010));
    t.is(getRequestLimit(state, 'e1'), 5);
    t.true(recordUnlimitedAnswer(state, answerTo(1000), 1100));
    t.is(getRequestLimit(state, 'e1'), null);
    t.is(countLimitedEndpoints(state), 0);
  });

  it('is forgotten when the endpoint restarts or leaves', (t) => {
    const state = createRequestLimitState('vm-1');
    recordNamedLimit(state, answerTo(0), 5, 1000);
    recordNamedLimit(state, { endpointId: 'e2', sentAt: 0 }, 5, 1000);
    resetRequestLimit(state, 'e1');
    removeStaleLimits(state, (id) => id !== 'e2', 1000);
    t.is(countLimitedEndpoints(state), 0);
  });
});

function divide(state: RequestLimitState, now: number): void {
  divideRequestLimits(state, () => 's1', 1, now);
}

/** Creates the state of a VM that is alone, with a limit and without credit at 10,000 ms. */
function createSpent(perSecond: number): RequestLimitState {
  const state = createRequestLimitState('vm-1');
  recordNamedLimit(state, answerTo(0), perSecond, 0);
  divide(state, 0);
  divide(state, 10_000);
  while (createRequestPermits(state, urgent, 10_000).isPermitted('e1')) {
    recordLimitedSend(state, 'e1', 10_000);
  }
  return state;
}

describe('a VM that is alone with a limit', () => {
  it('may send again when the limit allows it, and knows when', (t) => {
    const state = createSpent(2);
    const waitMs = createRequestPermits(state, urgent, 10_000).waitMs('e1');
    t.true(waitMs > 0 && waitMs <= 500, `${waitMs} ms`);
    const isPermitted = (at: number) => createRequestPermits(state, urgent, at).isPermitted('e1');
    t.false(isPermitted(10_000 + waitMs - 1));
    t.true(isPermitted(10_000 + waitMs + 1));
  });

  it('permits all endpoints without a limit', (t) => {
    t.true(createRequestPermits(createSpent(2), urgent, 10_000).isPermitted('e2'));
  });

  it('leaves what the limit allows to more urgent requests while these come', (t) => {
    const state = createSpent(2);
    const count = { urgent: 0, lessUrgent: 0 };
    for (let now = 10_000; now < 40_000; now += 50) {
      divide(state, now);
      recordServiceArrival(state, 's1', lessUrgent.priority, now);
      if (createRequestPermits(state, lessUrgent, now).isPermitted('e1')) {
        recordLimitedSend(state, 'e1', now);
        count.lessUrgent += 1;
      }
      if (now < 25_000) recordServiceArrival(state, 's1', urgent.priority, now);
      if (now < 25_000 && createRequestPermits(state, urgent, now).isPermitted('e1')) {
        recordLimitedSend(state, 'e1', now);
        count.urgent += 1;
      }
    }
    t.true(count.urgent >= 25, `${count.urgent} urgent`);
    t.true(count.lessUrgent >= 15 && count.lessUrgent <= 35, `${count.lessUrgent} less urgent`);
  });

  it('sends a health check at once after a request, and the next requests wait for it', (t) => {
    const state = createSpent(2);
    t.is(timeToHealthCheck(state, 'e1', 10_000), 0);
    recordLimitedSend(state, 'e1', 10_000);
    t.true(timeToHealthCheck(state, 'e1', 10_000) > 0);
    t.true(createRequestPermits(state, urgent, 10_000).waitMs('e1') > 500);
  });
});

describe('what a peer says of a limit', () => {
  const say = (perSecond: number | null, ageMs = 0) => [{ endpointId: 'e1', perSecond, ageMs }];

  it('is adopted when no answer told this VM', (t) => {
    const state = createRequestLimitState('vm-1');
    t.is(recordPeerLimits(state, 'vm-2', say(null), 1000).length, 0);
    t.is(recordPeerLimits(state, 'vm-2', say(3, 400), 1000).length, 1);
    t.like(describeRequestLimit(state, 'e1', 1000), { perSecond: 3, toldTo: 'vm-2', ageMs: 400 });
  });

  it('does not replace what an endpoint said later', (t) => {
    const state = createRequestLimitState('vm-1');
    recordNamedLimit(state, answerTo(4000), 3, 5000);
    recordPeerLimits(state, 'vm-2', say(9, 1000), 5500);
    recordPeerLimits(state, 'vm-2', say(null, 1000), 5500);
    t.is(getRequestLimit(state, 'e1'), 3);
  });

  it('ends a limit or raises it only some time after the limit was lowered', (t) => {
    const state = createRequestLimitState('vm-1');
    recordNamedLimit(state, answerTo(0), 3, 5000);
    t.is(recordPeerLimits(state, 'vm-2', say(9), 5100).length, 0);
    t.is(recordPeerLimits(state, 'vm-2', say(2), 5100).length, 1);
    t.is(recordPeerLimits(state, 'vm-2', say(null), 6000).length, 1);
    t.is(getRequestLimit(state, 'e1'), null);
  });

  it('does not grow younger as VMs repeat it to each other', (t) => {
    const states = ['vm-1', 'vm-2', 'vm-3'].map(createRequestLimitState);
    recordNamedLimit(states[0]!, answerTo(0), 3, 1000);
    const delayMs = 20;
    for (let now = 1000; now < 61_000; now += 100) {
      states.forEach((state, from) => {
        const reports = takeLimitReports(state, now);
        const to = states[(from + 1) % states.length]!;
        recordPeerLimits(to, state.vmId, reports, now + delayMs);
      });
    }
    states.forEach((state) => {
      t.true(describeRequestLimit(state, 'e1', 61_000)!.ageMs >= 59_000);
    });
  });

  it('takes what the peer has sent from the credit of all VMs', (t) => {
    const [first, second] = ['vm-1', 'vm-2'].map(createRequestLimitState);
    [first!, second!].forEach((state) => {
      recordNamedLimit(state, answerTo(0), 1, 0);
      divide(state, 0);
      divide(state, 60_000);
    });
    const fleetCredit = () => describeRequestLimit(second!, 'e1', 60_000)!.fleetCredit;
    const before = fleetCredit();
    for (let sends = 0; sends < 3; sends += 1) recordLimitedSend(first!, 'e1', 60_000);
    recordPeerSends(second!, takeSendReports(first!), 60_000);
    t.is(takeSendReports(first!).length, 0);
    t.is(before - fleetCredit(), 3);
  });

  it('is bounded in each message and told in turn', (t) => {
    const state = createRequestLimitState('vm-1');
    for (let index = 0; index < 200; index += 1) {
      recordNamedLimit(state, { endpointId: `e${index}`, sentAt: 0 }, 3, 0);
    }
    const told = new Set<string>();
    for (let message = 0; message < 4; message += 1) {
      const reports = takeLimitReports(state, 0);
      t.true(reports.length <= 64);
      reports.forEach(({ endpointId }) => told.add(endpointId));
    }
    t.is(told.size, 200);
  });
});
