import { CoreFleet, describe, it, publishTable } from '@filbertlatch/core/testing';

import { isReady, listReachablePeers, type Action, type Request, type Vm } from '../src/index.js';

const vms: readonly Vm[] = ['a', 'b', 'c'].map((zone, index) => ({
  id: `vm-${index}`,
  peerUrl: `http://127.0.0.1:${9000 + index}`,
  zone,
  region: 'region-1',
  state: 'live',
}));

const engine = {
  id: 'engine-1',
  kind: 'engine',
  url: 'http://127.0.0.1:9100',
  zone: 'a',
  region: 'region-1',
  slots: 1,
  models: ['small'],
  fencing: 'checked',
};

function createRequest(id: string, now: number): Request {
  return {
    id,
    accountId: 'station',
    classId: 'headline',
    pool: 'model:small',
    arrivedAt: now,
    deadline: now + 60_000,
    promptTokens: 10,
    maxOutputTokens: 10,
    prefixes: [],
    repeatable: true,
    key: null,
    fingerprint: id,
  };
}

function startFleet(): CoreFleet {
  const fleet = new CoreFleet(1);
  fleet.platform.list = { revision: 1, vms: [...vms], leavingEndpoints: [] };
  fleet.platform.table = publishTable(1, 2, { endpoints: [engine] });
  vms.forEach((vm) => fleet.start(vm));
  fleet.run(4000);
  return fleet;
}

function send(fleet: CoreFleet, id: string): void {
  const request = createRequest(id, fleet.now);
  fleet.post('vm-0', { kind: 'request-arrived', request });
}

function kindsSent<K extends Action['kind']>(fleet: CoreFleet, kind: K) {
  return fleet.node('vm-0').sent.filter((action) => action.kind === kind);
}

describe('a VM that leaves', () => {
  it('is known to leave by all others within 3 s, and answers their calls until it ends', (t) => {
    const fleet = startFleet();
    fleet.post('vm-0', { kind: 'drain-began' });
    fleet.run(3000);
    ['vm-1', 'vm-2'].forEach((id) => {
      const { membership } = fleet.node(id).core;
      t.is(membership.members.get('vm-0')!.state, 'leaving', id);
      t.false(listReachablePeers(membership, fleet.now).some((vm) => vm.id === 'vm-0'));
    });
    t.false(isReady(fleet.node('vm-0').core.membership));
  });

  it('refuses what still arrives as not run, with when to come back', (t) => {
    const fleet = startFleet();
    fleet.post('vm-0', { kind: 'drain-began' });
    send(fleet, 'late');
    const [refuse] = kindsSent(fleet, 'refuse');
    t.like(refuse, { requestId: 'late', refusal: { code: 'leaving', verdict: 'not-run' } });
    t.true(refuse?.kind === 'refuse' && refuse.refusal.retryAfterMs! > 0);
    t.is(kindsSent(fleet, 'dispatch').length, 0);
  });

  it('still takes what arrives in its grace, though it says at once that it leaves', (t) => {
    const fleet = startFleet();
    fleet.post('vm-0', { kind: 'drain-began', graceMs: 2000 });
    t.false(isReady(fleet.node('vm-0').core.membership));
    fleet.run(1500);
    send(fleet, 'in-grace');
    t.is(kindsSent(fleet, 'dispatch').length, 1);
    fleet.run(500);
    send(fleet, 'late');
    t.like(kindsSent(fleet, 'refuse')[0], { requestId: 'late' });
  });

  it('finishes what runs, and at its time limit tells the truth of what does not end', (t) => {
    const fleet = startFleet();
    send(fleet, 'running');
    send(fleet, 'waiting');
    t.is(kindsSent(fleet, 'dispatch').length, 1);
    fleet.post('vm-0', { kind: 'drain-began' });
    t.is(kindsSent(fleet, 'refuse').length, 0);
    fleet.post('vm-0', { kind: 'drain-timed-out' });
    const refusals = kindsSent(fleet, 'refuse').map(
      (action) => action.kind === 'refuse' && [action.requestId, action.refusal.verdict],
    );
    t.deepEqual(refusals, [
      ['running', 'may-have-run'],
      ['waiting', 'not-run'],
    ]);
    t.is(kindsSent(fleet, 'cancel-attempt').length, 1);
    t.is(fleet.node('vm-0').core.requests.size, 0);
  });
});

describe('an endpoint listed as leaving', () => {
  it('gets no new request', (t) => {
    const fleet = startFleet();
    const leavingEndpoints = ['engine-1'];
    fleet.offerList('vm-0', { revision: 2, vms: [...vms], leavingEndpoints });
    fleet.run(100);
    send(fleet, 'r');
    t.is(kindsSent(fleet, 'dispatch').length, 0);
  });
});

function pause(fleet: CoreFleet): void {
  fleet.post('vm-0', { kind: 'woke', pausedMs: 60_000 });
}

describe('a VM that wakes late', () => {
  it('reads table, list and peers again, and dispatches nothing before', (t) => {
    const fleet = startFleet();
    fleet.node('vm-0').sent.length = 0;
    pause(fleet);
    send(fleet, 'r');
    t.is(kindsSent(fleet, 'dispatch').length, 0);
    t.is(kindsSent(fleet, 'fetch-manifest').length, 1);
    t.is(kindsSent(fleet, 'fetch-list').length, 1);
    t.is(kindsSent(fleet, 'call-peer').length, 2);
    fleet.run(500);
    t.is(kindsSent(fleet, 'dispatch').length, 1);
  });

  it('sends nothing to an endpoint that was listed as leaving meanwhile', (t) => {
    const fleet = startFleet();
    fleet.platform.list = { revision: 2, vms: [...vms], leavingEndpoints: ['engine-1'] };
    pause(fleet);
    send(fleet, 'r');
    fleet.run(5000);
    t.is(kindsSent(fleet, 'dispatch').length, 0);
  });

  const away: [string, (fleet: CoreFleet) => void][] = [
    [
      'the platform away',
      (fleet) => {
        fleet.platform.isDown = true;
      },
    ],
    [
      'all peers out of reach',
      (fleet) => {
        fleet.isLost = () => true;
      },
    ],
  ];
  away.forEach(([title, fail]) => {
    it(`serves again within 4 s with ${title}`, (t) => {
      const fleet = startFleet();
      fail(fleet);
      pause(fleet);
      send(fleet, 'r');
      t.is(kindsSent(fleet, 'dispatch').length, 0);
      fleet.run(4000);
      t.is(kindsSent(fleet, 'dispatch').length, 1);
    });
  });
});

describe('a platform that is away for an hour', () => {
  it('stops nothing, and the age of what was last read is known', (t) => {
    const fleet = startFleet();
    fleet.platform.isDown = true;
    const { core } = fleet.node('vm-0');
    const heardAt = core.membership.listHeardAt;
    fleet.run(3_600_000);
    send(fleet, 'r');
    t.is(kindsSent(fleet, 'dispatch').length, 1);
    t.is(core.membership.listHeardAt, heardAt);
    t.true(isReady(core.membership));
    t.true(fleet.now - core.table.heardAt >= 3_600_000);
  });
});
