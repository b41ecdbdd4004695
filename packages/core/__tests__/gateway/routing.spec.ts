import {
  adoptConfiguration,
  chooseService,
  configurationVersion,
  createRoutingState,
  findKeyHolder,
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

    it('takes the longest prefix that begins the path', (t) => {
      t.is(findRoute(state, 'desk.example', '/drafts/hourly/7')?.id, 'hourly');
      t.is(findRoute(state, 'desk.example', '/drafts/7')?.id, 'drafts');
      t.is(findRoute(state, 'desk.example', '/drafts/hourly')?.id, 'drafts');
      t.is(findRoute(state, 'desk.example', '/else')?.id, 'root');
    });

    it('keeps hosts apart and reads them without regard to case', (t) => {
      t.is(findRoute(state, 'OTHER.example', '/drafts/hourly/')?.id, 'other');
      t.is(findRoute(state, 'other.example', '/drafts/'), undefined);
      t.is(findRoute(state, 'nowhere.example', '/'), undefined);
    });
  });

  describe('adoptConfiguration', () => {
    it('never lets the version fall or an equal one replace the first', (t) => {
      const state = createRoutingState();
      t.is(configurationVersion(state), -1);
      t.true(adoptConfiguration(state, createConfiguration({ version: 7 })));
      t.false(adoptConfiguration(state, createConfiguration({ version: 7, routes: [] })));
      t.false(adoptConfiguration(state, createConfiguration({ version: 3, routes: [] })));
      t.is(configurationVersion(state), 7);
      t.truthy(findRoute(state, 'desk.example', '/drafts/1'));
    });

    it('forgets the keys of the version before', (t) => {
      const state = createRoutingState();
      const account = { id: 'station', priority: 1 };
      const accounts = new Map([['old-key', account]]);
      adoptConfiguration(state, createConfiguration({ version: 1, accounts }));
      t.is(findKeyHolder(state, 'old-key')?.id, 'station');
      const renewed = new Map([['new-key', account]]);
      adoptConfiguration(state, createConfiguration({ version: 2, accounts: renewed }));
      t.is(findKeyHolder(state, 'old-key'), undefined);
      t.is(findKeyHolder(state, null), undefined);
    });
  });

  describe('chooseService', () => {
    const split = [
      { serviceId: 'a', weight: 90 },
      { serviceId: 'b', weight: 10 },
      { serviceId: 'c', weight: 0 },
    ];

    it('divides requests by weight and gives one request the same service again', (t) => {
      const route = createRoute({ split });
      const chosen = Array.from({ length: 2000 }, (_, index) => chooseService(route, `r${index}`));
      const part = chosen.filter((id) => id === 'b').length / chosen.length;
      t.true(part > 0.07 && part < 0.13, `part of b: ${part}`);
      t.false(chosen.includes('c'));
      t.is(chooseService(route, 'r5'), chosen[5]);
    });

    it('gives none when all weights are nothing', (t) => {
      t.is(chooseService(createRoute({ split: [{ serviceId: 'a', weight: 0 }] }), 'r'), undefined);
    });
  });
});
