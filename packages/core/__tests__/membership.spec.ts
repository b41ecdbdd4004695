import { CoreFleet, describe, it, publishTable } from '@filbertlatch/core/testing';

import { isUnreachable, tableRevision, type Vm, type VmList } from '../src/index.js';

const ZONES = ['a', 'b', 'c'];

function createVms(count: number): Vm[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `vm-${index}`,
    peerUrl: `http://127.0.0.1:${9000 + index}`,
    zone: ZONES[index % ZONES.length]!,
    region: 'region-1',
    state: 'live',
  }));
}

function createVmList(revision: number, vms: readonly Vm[]): VmList {
  return { revision, vms: [...vms], leavingEndpoints: [] };
}

function startFleet(count: number, seed = 1): { fleet: CoreFleet; vms: Vm[] } {
  const fleet = new CoreFleet(seed);
  const vms = createVms(count);
  fleet.platform.list = createVmList(1, vms);
  fleet.platform.table = publishTable(1);
  vms.forEach((vm) => fleet.start(vm));
  fleet.run(5000);
  return { fleet, vms };
}

function marksUnreachable(fleet: CoreFleet, id: string, peer: string): boolean {
  return isUnreachable(fleet.node(id).core.membership.members.get(peer), fleet.now);
}

function listVmsMarkingUnreachable(fleet: CoreFleet, peer: string): string[] {
  return [...fleet.nodes.keys()].filter((id) => id !== peer && marksUnreachable(fleet, id, peer));
}

describe('heartbeats', () => {
  describe('in a fleet where nothing fails', () => {
    it('are sent at the same low rate by each VM, whatever the size of the fleet', (t) => {
      [4, 64].forEach((count) => {
        const { fleet } = startFleet(count);
        const node = fleet.node('vm-0');
        node.sent.length = 0;
        fleet.run(10_000);
        const calls = node.sent.filter((action) => action.kind === 'call-peer');
        t.true(calls.length >= 20 && calls.length <= 40, `${calls.length} calls in 10 s`);
      });
    });

    it('make every VM live on every other VM', (t) => {
      const { fleet } = startFleet(8);
      [...fleet.nodes].forEach(([id, { core }]) => {
        t.is(core.membership.members.size, 7, id);
        t.true([...core.membership.members.values()].every((m) => m.state === 'live'));
      });
    });

    it('take, like all other calls, at most 1,200 bytes each with 330 VMs', (t) => {
      const { fleet } = startFleet(330);
      const sizes = [...fleet.nodes.values()].flatMap(({ sent }) =>
        sent
          .filter((action) => action.kind === 'call-peer')
          .map((action) => JSON.stringify(action.call).length),
      );
      t.true(Math.max(...sizes) <= 1200, `${Math.max(...sizes)} bytes`);
    });
  });

  const vmFailures: [string, (fleet: CoreFleet) => void][] = [
    ['a crashed VM', (fleet) => fleet.crash('vm-3')],
    [
      'a VM cut off from all others',
      (fleet) => {
        fleet.isLost = (from, to) => from === 'vm-3' || to === 'vm-3';
      },
    ],
    [
      'a VM paused for 60 s',
      (fleet) => {
        fleet.node('vm-3').pausedUntil = fleet.now + 60_000;
      },
    ],
  ];
  vmFailures.forEach(([title, fail]) => {
    describe(`with ${title}`, () => {
      [8, 32].forEach((count) => {
        it(`mark it unreachable within 20 s on every other VM of ${count}, and it stays in the list`, (t) => {
          const { fleet } = startFleet(count);
          fail(fleet);
          fleet.run(20_000);
          t.is(listVmsMarkingUnreachable(fleet, 'vm-3').length, count - 1);
          t.is(fleet.node('vm-0').core.membership.list?.vms.length, count);
        });
      });
    });
  });

  const partialLosses: [string, (fleet: CoreFleet) => void][] = [
    [
      'a tenth of all messages lost',
      (fleet) => {
        fleet.isLost = () => fleet.random.next() < 0.1;
      },
    ],
    [
      'all messages in one direction lost between two VMs',
      (fleet) => {
        fleet.isLost = (from, to) => from === 'vm-1' && to === 'vm-2';
      },
    ],
  ];
  partialLosses.forEach(([title, fail]) => {
    describe(`with ${title}`, () => {
      it('make no VM unreachable for VMs with intact links', (t) => {
        const { fleet, vms } = startFleet(8);
        fail(fleet);
        fleet.run(30_000);
        vms.forEach(({ id }) => {
          const missing = listVmsMarkingUnreachable(fleet, id).filter(
            (by) => by !== 'vm-1' && by !== 'vm-2',
          );
          t.deepEqual(missing, [], id);
        });
      });
    });
  });

  describe('after a partition has healed', () => {
    it('make every VM reachable again within 10 s', (t) => {
      const { fleet, vms } = startFleet(8);
      const isInMinority = (id: string) => Number(id.slice(3)) < 3;
      fleet.isLost = (from, to) => isInMinority(from) !== isInMinority(to);
      fleet.run(20_000);
      t.true(marksUnreachable(fleet, 'vm-0', 'vm-5'));
      t.false(marksUnreachable(fleet, 'vm-4', 'vm-5'));
      fleet.isLost = () => false;
      fleet.run(10_000);
      vms.forEach(({ id }) => t.deepEqual(listVmsMarkingUnreachable(fleet, id), [], id));
    });
  });

  describe('of a restarted VM', () => {
    it('have a higher incarnation, and late ones of the earlier incarnation are ignored', (t) => {
      const { fleet, vms } = startFleet(4);
      const { membership } = fleet.node('vm-0').core;
      const earlier = membership.members.get('vm-1')!.heartbeat!;
      fleet.crash('vm-1');
      fleet.run(8000);
      fleet.start(vms[1]!);
      fleet.run(5000);
      const member = membership.members.get('vm-1')!;
      t.true(member.incarnation > earlier.incarnation);
      t.is(member.state, 'live');
      const late = { ...earlier, sequence: 9999, state: 'leaving' as const };
      const call = { method: 'heartbeat', heartbeat: late } as const;
      fleet.post('vm-0', { kind: 'peer-called', callId: 'late', call });
      t.is(membership.members.get('vm-1')!.state, 'live');
    });
  });
});

describe('a newer list that the platform gives to one VM only', () => {
  it('reaches all other VMs from peers within 10 s', (t) => {
    const { fleet, vms } = startFleet(4);
    const newer = createVmList(2, vms.slice(0, 3));
    fleet.offerList('vm-1', newer);
    fleet.run(10_000);
    [...fleet.nodes].forEach(([id, { core }]) => t.is(core.membership.list?.revision, 2, id));
  });
});

describe('a fleet whose VMs are all restarted one after another', () => {
  it('keeps the highest table revision while the configuration service serves an old one', (t) => {
    const { fleet } = startFleet(6);
    fleet.platform.table = publishTable(9);
    fleet.offerTable('vm-0');
    fleet.run(8000);
    fleet.platform.table = publishTable(1);
    for (let index = 0; index < 6; index += 1) {
      const id = `vm-${index}`;
      fleet.crash(id);
      fleet.run(2000);
      const { self } = fleet.node(id).core.membership;
      const node = fleet.start(self);
      for (let waited = 0; waited < 100 && !node.core.membership.ready; waited += 1) fleet.run(100);
      t.true(node.core.membership.ready, id);
      t.is(tableRevision(node.core.table), 9, id);
    }
  });
});
