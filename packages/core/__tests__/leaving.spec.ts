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

function actionsOfKind<K extends Action['kind']>(fleet: CoreFleet, kind: K) {
  return fleet.node('vm-0').sent.filter((action) => action.kind === kind);
}

describe('a draining VM', () => {
  it('is listed by all peers as leaving and as unreachable within 3 s, and is not ready', (t) => {
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

  it('refuses new requests with the verdict not-run and a retry-after time', (t) => {
    const fleet = startFleet();
    fleet.post('vm-0', { kind: 'drain-began' });
    send(fleet, 'late');
    const [refuse] = actionsOfKind(fleet, 'refuse');
    t.like(refuse, { requestId: 'late', refusal: { code: 'leaving', verdict: 'not-run' } });
    t.true(refuse?.kind === 'refuse' && refuse.refusal.retryAfterMs! > 0);
    t.is(actionsOfKind(fleet, 'dispatch').length, 0);
  });

  it('accepts requests until its grace period ends, but is not ready from its start', (t) => {
    const fleet = startFleet();
    fleet.post('vm-0', { kind: 'drain-began', graceMs: 2000 });
    t.false(isReady(fleet.node('vm-0').core.membership));
    fleet.run(1500);
    send(fleet, 'in-grace');
    t.is(actionsOfKind(fleet, 'dispatch').length, 1);
    fleet.run(500);
    send(fleet, 'late');
    t.like(actionsOfKind(fleet, 'refuse')[0], { requestId: 'late' });
  });

  it('keeps open requests, and at its time limit refuses them with their actual verdicts', (t) => {
    const fleet = startFleet();
    send(fleet, 'running');
    send(fleet, 'waiting');
    t.is(actionsOfKind(fleet, 'dispatch').length, 1);
    fleet.post('vm-0', { kind: 'drain-began' });
    t.is(actionsOfKind(fleet, 'refuse').length, 0);
    fleet.post('vm-0', { kind: 'drain-timed-out' });
    const refusals = actionsOfKind(fleet, 'refuse').map(
      (action) => action.kind === 'refuse' && [action.requestId, action.refusal.verdict],
    );
    t.deepEqual(refusals, [
      ['running', 'may-have-run'],
      ['waiting', 'not-run'],
    ]);
    t.is(actionsOfKind(fleet, 'cancel-attempt').length, 1);
    t.is(fleet.node('vm-0').core.requests.size, 0);
  });
});

describe('an endpoint listed as leaving', () => {
  it('gets no new requests', (t) => {
    const fleet = startFleet();
    const leavingEndpoints = ['engine-1'];
    fleet.offerList('vm-0', { revision: 2, vms: [...vms], leavingEndpoints });
    fleet.run(100);
    send(fleet, 'r');
    t.is(actionsOfKind(fleet, 'dispatch').length, 0);
  });
});

function pause(fleet: CoreFleet): void {
  fleet.post('vm-0', { kind: 'woke', pausedMs: 60_000 });
}

describe('a VM that was paused', () => {
  it('reads the table, the VM list and its peers again before it dispatches anything', (t) => {
    const fleet = startFleet();
    fleet.node('vm-0').sent.length = 0;
    pause(fleet);
    send(fleet, 'r');
    t.is(actionsOfKind(fleet, 'dispatch').length, 0);
    t.is(actionsOfKind(fleet, 'fetch-manifest').length, 1);
    t.is(actionsOfKind(fleet, 'fetch-list').length, 1);
    t.is(actionsOfKind(fleet, 'call-peer').length, 2);
    fleet.run(500);
    t.is(actionsOfKind(fleet, 'dispatch').length, 1);
  });

  it('sends nothing to an endpoint that was listed as leaving in the meantime', (t) => {
    const fleet = startFleet();
    fleet.platform.list = { revision: 2, vms: [...vms], leavingEndpoints: ['engine-1'] };
    pause(fleet);
    send(fleet, 'r');
    fleet.run(5000);
    t.is(actionsOfKind(fleet, 'dispatch').length, 0);
  });

  const outages: [string, (fleet: CoreFleet) => void][] = [
    [
      'the platform unreachable',
      (fleet) => {
        fleet.platform.isDown = true;
      },
    ],
    [
      'all peers unreachable',
      (fleet) => {
        fleet.isLost = () => true;
      },
    ],
  ];
  outages.forEach(([title, fail]) => {
    it(`dispatches again within 4 s with ${title}`, (t) => {
      const fleet = startFleet();
      fail(fleet);
      pause(fleet);
      send(fleet, 'r');
      t.is(actionsOfKind(fleet, 'dispatch').length, 0);
      fleet.run(4000);
      t.is(actionsOfKind(fleet, 'dispatch').length, 1);
    });
  });
});

describe('an hour without the platform', () => {
  it('stops neither dispatch nor readiness, while the ages of the table and the VM list grow', (t) => {
    const fleet = startFleet();
    fleet.platform.isDown = true;
    const { core } = fleet.node('vm-0');
    const heardAt = core.membership.listReceivedAt;
    fleet.run(3_600_000);
    send(fleet, 'r');
    t.is(actionsOfKind(fleet, 'dispatch').length, 1);
    t.is(core.membership.listReceivedAt, heardAt);
    t.true(isReady(core.membership));
    t.true(fleet.now - core.table.heardAt >= 3_600_000);
  });
});
