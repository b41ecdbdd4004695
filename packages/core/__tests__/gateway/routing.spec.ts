import {
  adoptConfiguration,
  chooseService,
  configurationVersion,
  createRoutingState,
  enginePriorityOfRank,
  findAccountByKey,
  findRoute,
} from '../../src/index.js';
import { describe, it } from '../../src/testing/index.js';
import { createConfiguration, createRoute } from './fixtures.js';

describe('routing', () => {
  describe('findRoute', () => {
    const state = createRoutingState();
    adoptConfiguration(
      state,
      createConfiguration({
        routes: [
          createRoute({ id: 'root', prefix: '/' }),
          createRoute({ id: 'drafts', prefix: '/drafts/' }),
          createRoute({ id: 'hourly', prefix: '/drafts/hourly/' }),
          createRoute({ id: 'other', host: 'other.example', prefix: '/drafts/hourly/' }),
        ],
      }),
    );

    it('returns the route with the longest prefix of the path', (t) => {
      t.is(findRoute(state, 'desk.example', '/drafts/hourly/7')?.id, 'hourly');
      t.is(findRoute(state, 'desk.example', '/drafts/7')?.id, 'drafts');
      t.is(findRoute(state, 'desk.example', '/drafts/hourly')?.id, 'drafts');
      t.is(findRoute(state, 'desk.example', '/else')?.id, 'root');
    });

    it('matches the host exactly except for case', (t) => {
      t.is(findRoute(state, 'OTHER.example', '/drafts/hourly/')?.id, 'other');
      t.is(findRoute(state, 'other.example', '/drafts/'), undefined);
      t.is(findRoute(state, 'nowhere.example', '/'), undefined);
    });
  });

  describe('adoptConfiguration', () => {
    it('rejects a configuration whose version is not newer', (t) => {
      const state = createRoutingState();
      t.is(configurationVersion(state), -1);
      t.true(adoptConfiguration(state, createConfiguration({ version: 7 })));
      t.false(adoptConfiguration(state, createConfiguration({ version: 7, routes: [] })));
      t.false(adoptConfiguration(state, createConfiguration({ version: 3, routes: [] })));
      t.is(configurationVersion(state), 7);
      t.truthy(findRoute(state, 'desk.example', '/drafts/1'));
    });

    it('drops the keys of the previous version', (t) => {
      const state = createRoutingState();
      const account = { id: 'station', priority: 1 };
      const accounts = new Map([['old-key', account]]);
      adoptConfiguration(state, createConfiguration({ version: 1, accounts }));
      t.is(findAccountByKey(state, 'old-key')?.id, 'station');
      const renewed = new Map([['new-key', account]]);
      adoptConfiguration(state, createConfiguration({ version: 2, accounts: renewed }));
      t.is(findAccountByKey(state, 'old-key'), undefined);
      t.is(findAccountByKey(state, null), undefined);
    });
  });

  describe('chooseService', () => {
    const split = [
      { serviceId: 'a', weight: 90 },
      { serviceId: 'b', weight: 10 },
      { serviceId: 'c', weight: 0 },
    ];

    it('splits requests by weight and returns the same service for the same request', (t) => {
      const route = createRoute({ split });
      const chosen = Array.from({ length: 2000 }, (_, index) => chooseService(route, `r${index}`));
      const share = chosen.filter((id) => id === 'b').length / chosen.length;
      t.true(share > 0.07 && share < 0.13, `share of b: ${share}`);
      t.false(chosen.includes('c'));
      t.is(chooseService(route, 'r5'), chosen[5]);
    });

    it('returns undefined when all weights are 0', (t) => {
      t.is(chooseService(createRoute({ split: [{ serviceId: 'a', weight: 0 }] }), 'r'), undefined);
    });
  });
});

describe('the priority that engines get for a rank', () => {
  const prioritiesOf = (ranks: readonly number[]) => {
    const state = { ...createRoutingState(), engineRanks: ranks };
    return ranks.map((rank) => enginePriorityOfRank(state, rank));
  };

  it('tells up to ten ranks apart', (t) => {
    t.deepEqual(prioritiesOf([0, 1, 10, 11, 12, 20]), [0, 1, 2, 3, 4, 5]);
    t.is(new Set(prioritiesOf([0, 1, 2, 10, 11, 12, 20, 21, 22, 30])).size, 10);
  });

  it('keeps the order of more ranks, from 0 to 9', (t) => {
    const sent = prioritiesOf(Array.from({ length: 37 }, (_, index) => index * 3));
    t.deepEqual(
      sent,
      [...sent].sort((a, b) => a - b),
    );
    t.is(sent[0], 0);
    t.is(sent.at(-1), 9);
  });

  it('keeps the order for a rank of an earlier configuration', (t) => {
    const state = { ...createRoutingState(), engineRanks: [0, 10, 20] };
    t.is(enginePriorityOfRank(state, 5), 1);
    t.is(enginePriorityOfRank(state, 30), 3);
  });
});
