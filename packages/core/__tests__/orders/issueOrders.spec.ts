import { describe, it } from '@filbertlatch/core/testing';
import type { ExecutionContext } from 'ava';

import {
  checkTable,
  createCore,
  createRandom,
  createTableView,
  decide,
  findEngineOwner,
  type ActionOf,
  type Core,
  type Engine,
  type Member,
  type Order,
  type Vm,
  type VmList,
} from '../../src/index.js';

const START = 1_000_000_000;
const MODELS = ['drafting', 'desk'];
const SECOND_MS = 1000;

function createVm(id: string): Vm {
  return { id, peerUrl: 'http://127.0.0.1:1', zone: 'zone-a', region: 'region-1', state: 'live' };
}

const VMS = ['vm-0', 'vm-1', 'vm-2'].map(createVm);

function createTable(fencing: 'checked' | 'ignored', engines: number, weightBytes = 0) {
  const checked = checkTable({
    revision: 5,
    classes: [],
    accounts: [],
    limits: [],
    models: MODELS.map((id) => ({ id, version: '1', weightBytes })),
    endpoints: Array.from({ length: engines }, (_, index) => ({
      id: `engine-${index}`,
      kind: 'engine',
      url: 'http://127.0.0.1:1',
      zone: 'zone-a',
      region: 'region-1',
      slots: 10,
      models: ['drafting'],
      fencing,
      managed: true,
    })),
  });
  if (!checked.ok) throw new Error(checked.faults.map((f) => f.path).join());
  return checked.value;
}

function createList(revision: number, vms: Vm[]): VmList {
  return { revision, vms, leavingEndpoints: [] };
}

interface Setup {
  readonly fencing?: 'checked' | 'ignored';
  readonly engines?: number;
  readonly weightBytes?: number;
  readonly weightsBytesPerSecond?: number;
}

/** Cores of several VMs and the engines that they manage, without sockets. */
class ManagedFleet {
  readonly cores: Core[];

  readonly engines: readonly Engine[];

  readonly loaded = new Map<string, readonly string[]>();

  readonly orders: { readonly from: string; readonly at: number; readonly order: Order }[] = [];

  now = START;

  constructor(setup: Setup = {}) {
    const table = createTable(setup.fencing ?? 'checked', setup.engines ?? 6, setup.weightBytes);
    this.engines = table.endpoints as Engine[];
    this.engines.forEach((engine) => this.loaded.set(engine.id, ['drafting@1']));
    this.cores = VMS.map((vm, index) => {
      const core = createCore(vm, createRandom(index), START, setup);
      core.table.view = createTableView(table);
      decide(core, { kind: 'list-offered', source: 'service', list: createList(1, VMS) }, START);
      return core;
    });
  }

  /** Reports demand for a model to every VM, as the heartbeat of a fourth VM would. */
  demand(model: string, tokensPerSecond: number): void {
    for (const core of this.cores) {
      const loads = [
        {
          classId: 'any',
          pool: `model:${model}`,
          waiting: 0,
          waitingTokens: 0,
          servedTokensPerSecond: tokensPerSecond,
        },
      ];
      const id = `demand-${model}`;
      // The code under test reads only the loads of a heartbeat.
      const member = { id, heartbeat: { loads }, heardAt: this.now } as unknown as Member;
      core.membership.members.set(id, member);
    }
  }

  /** Advances time; an order takes effect at once if `applies` returns true. */
  run(seconds: number, applies: (order: Order) => boolean = () => true): void {
    for (let second = 0; second < seconds; second += 1) {
      this.now += SECOND_MS;
      for (const core of this.cores) {
        for (const member of core.membership.members.values()) member.heardAt = this.now;
        const actions = decide(core, { kind: 'tick' }, this.now);
        actions
          .filter((action): action is ActionOf<'order'> => action.kind === 'order')
          .forEach(({ order }) => this.receiveOrder(core, order, applies));
      }
      this.report();
    }
  }

  models(): string[] {
    return [...this.loaded.values()].map((models) => models.join()).sort();
  }

  private receiveOrder(core: Core, order: Order, applies: (order: Order) => boolean): void {
    this.orders.push({ from: core.membership.self.id, at: this.now, order });
    if (applies(order)) this.loaded.set(order.endpointId, order.models);
  }

  private report(): void {
    for (const core of this.cores) {
      for (const { id } of this.engines) {
        const report = {
          endpointId: id,
          measuredAt: this.now,
          running: 0,
          waiting: 0,
          waitingTokens: 0,
          tokensPerSecond: 0,
          models: this.loaded.get(id) ?? [],
        };
        decide(core, { kind: 'load-reported', report }, this.now);
      }
    }
  }
}

function countModel(fleet: ManagedFleet, model: string): number {
  return fleet.models().filter((name) => name.startsWith(`${model}@`)).length;
}

function assertOneOwner(t: ExecutionContext, fleet: ManagedFleet): void {
  for (const { from, order } of fleet.orders) {
    const engine = fleet.engines.find(({ id }) => id === order.endpointId)!;
    t.is(findEngineOwner(createList(1, VMS), engine)?.id, from);
  }
}

describe('issueOrders', () => {
  describe('when demand moves from one model to another', () => {
    it('moves engines to that model, each on the orders of its only owner', (t) => {
      const fleet = new ManagedFleet();
      fleet.demand('drafting', 1000);
      fleet.run(30);
      t.is(countModel(fleet, 'drafting'), 5);
      fleet.demand('drafting', 100);
      fleet.demand('desk', 1000);
      fleet.run(240);
      t.is(countModel(fleet, 'desk'), 5);
      t.is(countModel(fleet, 'drafting'), 1);
      assertOneOwner(t, fleet);
    });

    it('issues no orders when demand oscillates within the utilization band', (t) => {
      const fleet = new ManagedFleet();
      fleet.demand('drafting', 600);
      fleet.demand('desk', 600);
      fleet.run(120);
      const settled = fleet.orders.length;
      for (let cycle = 0; cycle < 60; cycle += 1) {
        fleet.demand('drafting', cycle % 2 === 0 ? 700 : 500);
        fleet.demand('desk', cycle % 2 === 0 ? 500 : 700);
        fleet.run(5);
      }
      t.is(fleet.orders.length, settled);
    });

    it('changes no engine more than sixty times an hour, however demand changes', (t) => {
      const fleet = new ManagedFleet();
      for (let cycle = 0; cycle < 60; cycle += 1) {
        fleet.demand('drafting', cycle % 2 === 0 ? 1200 : 0);
        fleet.demand('desk', cycle % 2 === 0 ? 0 : 1200);
        fleet.run(60);
      }
      t.true(fleet.orders.length > fleet.engines.length);
      for (const { id } of fleet.engines) {
        const own = fleet.orders.filter(({ order }) => order.endpointId === id);
        t.true(own.length <= 60, `${id}: ${own.length}`);
      }
    });
  });

  describe('with more demand than engines', () => {
    it('leaves every model its minimum replicas', (t) => {
      const fleet = new ManagedFleet({ engines: 4 });
      fleet.demand('drafting', 100_000);
      fleet.demand('desk', 1);
      fleet.run(120);
      t.is(countModel(fleet, 'desk'), 1);
      t.is(countModel(fleet, 'drafting'), 3);
    });
  });

  describe('with lost orders', () => {
    it('repeats them until the engine reports the models', (t) => {
      const fleet = new ManagedFleet({ engines: 2 });
      let lost = 0;
      fleet.run(200, () => {
        lost += 1;
        return lost > 2;
      });
      t.true(lost > 2);
      t.is(countModel(fleet, 'desk'), 1);
    });
  });

  describe('with a paused owner', () => {
    it('issues orders with lower fencing numbers than the owner under a later VM list', (t) => {
      const fleet = new ManagedFleet({ engines: 2 });
      fleet.run(15, () => false);
      const old = fleet.orders.at(-1)!;
      const others = VMS.filter((vm) => vm.id !== old.from);
      const list = createList(2, others);
      fleet.cores
        .filter((core) => core.membership.self.id !== old.from)
        .forEach((core) =>
          decide(core, { kind: 'list-offered', source: 'service', list }, fleet.now),
        );
      fleet.run(60);
      const later = fleet.orders.find(
        ({ from, order }) => from !== old.from && order.endpointId === old.order.endpointId,
      );
      t.truthy(later);
      t.true(later!.order.fencing[0] > old.order.fencing[0]);
    });

    it('clears its open orders on waking', (t) => {
      const fleet = new ManagedFleet({ engines: 2 });
      fleet.run(15, () => false);
      const { from, order } = fleet.orders.at(-1)!;
      const core = fleet.cores.find((c) => c.membership.self.id === from)!;
      t.truthy(core.orders.engines.get(order.endpointId)?.ordered);
      decide(core, { kind: 'woke', pausedMs: 60_000 }, fleet.now);
      t.is(core.orders.engines.get(order.endpointId)?.ordered, null);
    });
  });

  describe('with an engine that does not check fencing numbers', () => {
    it('issues no order until a newer VM list has arrived and settled', (t) => {
      const fleet = new ManagedFleet({ fencing: 'ignored', engines: 2 });
      fleet.run(60);
      t.deepEqual(fleet.orders, []);
      for (const core of fleet.cores) {
        decide(
          core,
          { kind: 'list-offered', source: 'service', list: createList(1, VMS) },
          fleet.now,
        );
      }
      fleet.run(5);
      t.is(fleet.orders.length, 1);
      t.is(countModel(fleet, 'desk'), 1);
    });
  });

  describe('with a slow weight store', () => {
    it("limits the loads of the whole fleet to the store's rate", (t) => {
      const setup = { engines: 12, weightBytes: 30, weightsBytesPerSecond: 1 };
      const fleet = new ManagedFleet(setup);
      fleet.demand('desk', 1800);
      fleet.demand('drafting', 100);
      const seconds = 600;
      fleet.run(seconds);
      t.true(fleet.orders.length >= 8);
      const bytes = fleet.orders.length * setup.weightBytes;
      const burst = VMS.length * setup.weightBytes;
      t.true(bytes <= seconds * setup.weightsBytesPerSecond + burst);
    });
  });

  describe('with an engine that has not reported', () => {
    it('issues no orders', (t) => {
      const fleet = new ManagedFleet({ engines: 1 });
      const core = fleet.cores[0]!;
      for (let second = 1; second < 60; second += 1) {
        const actions = decide(core, { kind: 'tick' }, START + second * SECOND_MS);
        t.false(actions.some((action) => action.kind === 'order'));
      }
    });
  });
});
