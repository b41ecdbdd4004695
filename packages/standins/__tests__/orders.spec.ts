import { describe, it } from '@filbertlatch/core/testing';
import type { Order } from '@filbertlatch/core';
import type { ExecutionContext } from 'ava';
import { request } from 'undici';

import { createEngine } from '../src/index.js';

function createOrder(fencing: Order['fencing'], model: string): Order {
  return { endpointId: 'engine-0', fencing, models: [model], adapters: [], role: 'mixed' };
}

const orderCases: readonly {
  readonly title: string;
  readonly fencing: 'checked' | 'ignored';
  readonly orders: readonly Order[];
  readonly statuses: readonly number[];
  readonly model: string;
}[] = [
  {
    title: 'refuses a late order of an old owner when it checks fencing',
    fencing: 'checked',
    orders: [createOrder([2, 1, 1], 'b@1'), createOrder([1, 9, 9], 'c@1')],
    statuses: [200, 409],
    model: 'b@1',
  },
  {
    title: 'accepts a late order of an old owner when it ignores fencing',
    fencing: 'ignored',
    orders: [createOrder([2, 1, 1], 'b@1'), createOrder([1, 9, 9], 'c@1')],
    statuses: [200, 200],
    model: 'c@1',
  },
  {
    title: 'refuses the same order the second time',
    fencing: 'checked',
    orders: [createOrder([2, 1, 1], 'b@1'), createOrder([2, 1, 1], 'b@1')],
    statuses: [200, 409],
    model: 'b@1',
  },
  {
    title: 'accepts a later counter from a restarted owner',
    fencing: 'checked',
    orders: [createOrder([2, 1, 100], 'b@1'), createOrder([2, 1, 101], 'c@1')],
    statuses: [200, 200],
    model: 'c@1',
  },
];

async function startEngine(t: ExecutionContext, fencing: 'checked' | 'ignored') {
  const engine = await createEngine({
    id: 'engine-0',
    models: ['a@1'],
    slots: 1,
    stepMs: 5,
    prefillTokensPerSecond: 1000,
    seed: 1,
    fencing,
  });
  t.teardown(() => engine.stop());
  return engine;
}

describe('an engine that receives orders', () => {
  for (const orderCase of orderCases) {
    it(orderCase.title, async (t) => {
      const engine = await startEngine(t, orderCase.fencing);
      const statuses: number[] = [];
      for (const order of orderCase.orders) {
        const { statusCode, body } = await request(`${engine.url}/orders`, {
          method: 'POST',
          headers: { 'content-type': 'application/json' },
          body: JSON.stringify(order),
        });
        await body.dump();
        statuses.push(statusCode);
      }
      t.deepEqual(statuses, orderCase.statuses);
      const { body } = await request(`${engine.url}/load`);
      const report = (await body.json()) as { models: string[] };
      t.deepEqual(report.models, [orderCase.model]);
    });
  }
});
