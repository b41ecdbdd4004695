import { CoreFleet, describe, it, publishTable } from '@filbertlatch/core/testing';
import fc from 'fast-check';

import { tableRevision, type Vm } from '../src/index.js';

const VM_COUNT = 4;

const vms: readonly Vm[] = Array.from({ length: VM_COUNT }, (_, index) => ({
  id: `vm-${index}`,
  peerUrl: `http://127.0.0.1:${9000 + index}`,
  zone: `zone-${index % 3}`,
  region: 'region-1',
  state: 'live',
}));

function startFleet(seed: number): CoreFleet {
  const fleet = new CoreFleet(seed);
  fleet.platform.list = { revision: 1, vms: [...vms], leavingEndpoints: [] };
  fleet.platform.table = publishTable(1);
  vms.forEach((vm) => fleet.start(vm));
  fleet.run(4000);
  return fleet;
}

function listRevisions(fleet: CoreFleet): number[] {
  return vms.map(({ id }) => tableRevision(fleet.node(id).core.table));
}

describe('a table edit', () => {
  describe('with the configuration service down after one VM has read it', () => {
    it('reaches all other VMs from that VM', (t) => {
      const fleet = startFleet(1);
      fleet.platform.table = publishTable(2);
      fleet.offerTable('vm-0');
      fleet.run(300);
      fleet.platform.isDown = true;
      fleet.run(8000);
      t.deepEqual(listRevisions(fleet), [2, 2, 2, 2]);
    });
  });

  describe('made during a partition', () => {
    it('reaches the other side within 12 s after the partition heals', (t) => {
      const fleet = startFleet(2);
      fleet.isLost = (from, to) => (from === 'vm-3') !== (to === 'vm-3');
      fleet.platform.table = publishTable(2);
      fleet.offerTable('vm-0');
      fleet.run(20_000);
      t.deepEqual(listRevisions(fleet), [2, 2, 2, 1]);
      fleet.isLost = () => false;
      fleet.run(12_000);
      t.deepEqual(listRevisions(fleet), [2, 2, 2, 2]);
    });
  });

  describe('that is invalid', () => {
    it('is refused on all VMs and not read again', (t) => {
      const fleet = startFleet(3);
      fleet.platform.table = publishTable(2, 3, { models: [{ id: 'a' }, { id: 'a' }] });
      vms.forEach(({ id }) => fleet.offerTable(id));
      fleet.run(2000);
      const countReads = () =>
        [...fleet.nodes.values()].flatMap(({ sent }) =>
          sent.filter(({ kind }) => kind === 'fetch-sheet' || kind === 'fetch-manifest'),
        ).length;
      const before = countReads();
      fleet.run(60_000);
      t.is(countReads(), before);
      t.deepEqual(listRevisions(fleet), [1, 1, 1, 1]);
    });
  });

  describe('whose content differs between VMs under one revision', () => {
    it('is reported by a counter and one log line a VM', (t) => {
      const fleet = startFleet(4);
      fleet.platform.table = publishTable(2, 5);
      fleet.offerTable('vm-0');
      fleet.run(20);
      fleet.platform.table = publishTable(2, 6);
      fleet.offerTable('vm-1');
      fleet.run(10_000);
      const conflicts = fleet.node('vm-0').told.filter(({ code }) => code === 'table_conflict');
      t.is(conflicts.length, 1);
      t.is(fleet.node('vm-0').core.counters.get('table_conflicts'), 1);
    });
  });
});

describe('a VM that starts', () => {
  describe('with the configuration service down', () => {
    it('gets the table from its peers and becomes ready', (t) => {
      const fleet = startFleet(5);
      fleet.crash('vm-2');
      const { list } = fleet.platform;
      fleet.platform.isDown = true;
      fleet.run(3000);
      const node = fleet.start(vms[2]!);
      t.false(node.core.membership.ready);
      fleet.offerList('vm-2', list);
      fleet.platform.isDown = false;
      fleet.offerList('vm-2', list);
      fleet.platform.isDown = true;
      fleet.run(6000);
      t.is(tableRevision(node.core.table), 1);
      t.true(node.core.membership.ready);
    });
  });

  describe('with no table anywhere', () => {
    it('does not become ready', (t) => {
      const fleet = new CoreFleet(6);
      fleet.platform.list = { revision: 1, vms: [...vms], leavingEndpoints: [] };
      const node = fleet.start(vms[0]!);
      fleet.run(30_000);
      t.false(node.core.membership.ready);
    });
  });
});

type Step =
  | { readonly kind: 'publish'; readonly revision: number }
  | { readonly kind: 'watch'; readonly vm: number; readonly revision: number }
  | { readonly kind: 'restart'; readonly vm: number }
  | { readonly kind: 'down'; readonly isDown: boolean }
  | { readonly kind: 'cut'; readonly vm: number }
  | { readonly kind: 'heal' }
  | { readonly kind: 'run'; readonly ms: number };

const vmIndex = fc.nat(VM_COUNT - 1);

const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ kind: fc.constant('publish' as const), revision: fc.integer({ min: 1, max: 12 }) }),
  fc.record({
    kind: fc.constant('watch' as const),
    vm: vmIndex,
    revision: fc.integer({ min: 1, max: 12 }),
  }),
  fc.record({ kind: fc.constant('restart' as const), vm: vmIndex }),
  fc.record({ kind: fc.constant('down' as const), isDown: fc.boolean() }),
  fc.record({ kind: fc.constant('cut' as const), vm: vmIndex }),
  fc.record({ kind: fc.constant('heal' as const) }),
  fc.record({ kind: fc.constant('run' as const), ms: fc.integer({ min: 50, max: 3000 }) }),
);

function applyStep(fleet: CoreFleet, nextStep: Step): void {
  switch (nextStep.kind) {
    case 'publish':
      fleet.platform.table = publishTable(nextStep.revision);
      break;
    case 'watch':
      fleet.offerTable(`vm-${nextStep.vm}`, publishTable(nextStep.revision));
      break;
    case 'restart':
      fleet.start(vms[nextStep.vm]!);
      break;
    case 'down':
      fleet.platform.isDown = nextStep.isDown;
      break;
    case 'cut':
      fleet.isLost = (from, to) => (from === `vm-${nextStep.vm}`) !== (to === `vm-${nextStep.vm}`);
      break;
    case 'heal':
      fleet.isLost = () => false;
      break;
    default:
      fleet.run(nextStep.ms);
  }
}

describe('the active table revision', () => {
  const seeds = [11, 12, 13];
  seeds.forEach((seed) => {
    it(`never decreases on a running VM, and with links intact rises to the highest of any VM (seed ${seed})`, (t) => {
      fc.assert(
        fc.property(fc.array(step, { minLength: 5, maxLength: 25 }), (steps) => {
          const fleet = startFleet(seed);
          const highest = new Map<string, number>();
          steps.forEach((nextStep) => {
            if (nextStep.kind === 'restart') highest.delete(`vm-${nextStep.vm}`);
            applyStep(fleet, nextStep);
            vms.forEach(({ id }) => {
              const revision = tableRevision(fleet.node(id).core.table);
              if (revision < (highest.get(id) ?? -1)) throw new Error(`${id} fell to ${revision}`);
              highest.set(id, revision);
            });
          });
          // With all links intact, every VM reaches the highest revision active on any VM.
          fleet.isLost = () => false;
          const highestActive = Math.max(...listRevisions(fleet));
          fleet.run(30_000);
          if (listRevisions(fleet).some((revision) => revision < highestActive)) {
            throw new Error(`${listRevisions(fleet).join()} below ${highestActive}`);
          }
        }),
        { seed, numRuns: 40 },
      );
      t.pass();
    });
  });

  it('is not an old one on a restarted VM that is ready', (t) => {
    fc.assert(
      fc.property(fc.nat(1000), vmIndex, (seed, vm) => {
        const fleet = startFleet(seed);
        fleet.platform.table = publishTable(7);
        vms.forEach(({ id }) => fleet.offerTable(id));
        fleet.run(3000);
        fleet.platform.table = publishTable(2);
        const node = fleet.start(vms[vm]!);
        for (let waited = 0; waited < 100; waited += 1) {
          fleet.run(100);
          if (node.core.membership.ready && tableRevision(node.core.table) < 7) {
            throw new Error(`ready at ${tableRevision(node.core.table)}`);
          }
        }
        if (!node.core.membership.ready) throw new Error('never ready');
      }),
      { seed: 21, numRuns: 40 },
    );
    t.pass();
  });
});
