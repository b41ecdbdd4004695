import { describe, it, publishTable, type PublishedTable } from '@filbertlatch/core/testing';

import {
  createRandom,
  createTableState,
  digestText,
  offerManifest,
  offerSheet,
  recordMissing,
  tableRevision,
  takeDueFetches,
  type OfferResult,
  type TableState,
} from '../src/index.js';

const NOW = 1_000_000;

function offerText(state: TableState, sheet: string, text: string): OfferResult {
  return offerSheet(state, sheet, digestText(text), text);
}

function offerWhole(state: TableState, table: PublishedTable, now = NOW): OfferResult {
  let result = offerManifest(state, table.manifest, null, now);
  table.texts.forEach((text, sheet) => {
    const next = offerText(state, sheet, text);
    if (next.kind !== 'ignored') result = next;
  });
  return result;
}

function accountOf(defaultClass: string): unknown {
  return { id: 'station', keyDigest: 'a'.repeat(64), homeRegion: 'r', defaultClass };
}

function weightInForce(state: TableState): number | undefined {
  return state.view?.classes.get('headline')?.weight;
}

describe('a table', () => {
  describe('with all its sheets', () => {
    it('comes into force', (t) => {
      const state = createTableState();
      t.deepEqual(offerWhole(state, publishTable(3)), { kind: 'accepted', revision: 3 });
      t.is(tableRevision(state), 3);
    });

    it('asks only for the sheets that changed', (t) => {
      const state = createTableState();
      offerWhole(state, publishTable(1));
      t.is(offerManifest(state, publishTable(2).manifest, null, NOW).kind, 'wanted');
      t.deepEqual(
        takeDueFetches(state, NOW).map(({ sheet }) => sheet),
        ['classes'],
      );
    });

    it('comes into force at once when only known sheets come back', (t) => {
      const state = createTableState();
      offerWhole(state, publishTable(1, 5));
      t.is(offerManifest(state, publishTable(2, 5).manifest, null, NOW).kind, 'accepted');
    });
  });

  const stale: [string, PublishedTable][] = [
    ['a lower revision', publishTable(2)],
    ['the same revision and content', publishTable(3)],
  ];
  stale.forEach(([title, table]) => {
    describe(`with ${title} offered later`, () => {
      it('stays as it is', (t) => {
        const state = createTableState();
        offerWhole(state, publishTable(3));
        t.is(offerWhole(state, table).kind, 'ignored');
        t.is(tableRevision(state), 3);
        t.is(weightInForce(state), 4);
      });
    });
  });

  describe('with two contents under one revision', () => {
    it('keeps the first and tells of the second once', (t) => {
      const state = createTableState();
      offerWhole(state, publishTable(3, 4));
      const other = publishTable(3, 9);
      t.deepEqual(offerManifest(state, other.manifest, null, NOW), {
        kind: 'conflict',
        revision: 3,
      });
      t.is(offerManifest(state, other.manifest, null, NOW).kind, 'ignored');
      t.is(weightInForce(state), 4);
    });
  });

  describe('with a part of its sheets', () => {
    it('waits, and the earlier one stays in force', (t) => {
      const state = createTableState();
      offerWhole(state, publishTable(1));
      offerManifest(state, publishTable(2).manifest, null, NOW);
      t.is(tableRevision(state), 1);
      t.is(weightInForce(state), 2);
    });

    it('gives way to a lower revision only after it has stalled', (t) => {
      const state = createTableState();
      offerWhole(state, publishTable(1));
      offerManifest(state, publishTable(8).manifest, null, NOW);
      t.is(offerManifest(state, publishTable(5).manifest, null, NOW + 1000).kind, 'ignored');
      t.is(offerManifest(state, publishTable(5).manifest, null, NOW + 20_000).kind, 'wanted');
      t.is(offerManifest(state, publishTable(1).manifest, null, NOW + 40_000).kind, 'ignored');
    });
  });

  describe('with a sheet read between two revisions', () => {
    it('takes no sheet whose digest the manifest does not name', (t) => {
      const state = createTableState();
      offerWhole(state, publishTable(1));
      offerManifest(state, publishTable(2).manifest, null, NOW);
      const torn = offerText(state, 'classes', publishTable(3).texts.get('classes')!);
      t.deepEqual(torn, { kind: 'torn', sheet: 'classes' });
      t.is(tableRevision(state), 1);
      t.is(offerText(state, 'classes', publishTable(2).texts.get('classes')!).kind, 'accepted');
    });
  });

  describe('with a sheet that cannot be had', () => {
    it('asks again after waits that grow, at most 10 s each', (t) => {
      const state = createTableState();
      const random = createRandom(7);
      offerManifest(state, publishTable(1).manifest, null, NOW);
      takeDueFetches(state, NOW);
      t.deepEqual(takeDueFetches(state, NOW + 1), [], 'asked while the first is under way');
      let now = NOW;
      const waits = Array.from({ length: 40 }, () => {
        recordMissing(state, 'models', random, now);
        const wait = state.fetches.get('models')!.nextAt - now;
        now += wait;
        return wait;
      });
      t.true(waits.every((wait) => wait >= 0 && wait <= 10_000));
      const mean = (some: number[]) => some.reduce((sum, wait) => sum + wait, 0) / some.length;
      t.true(mean(waits.slice(20)) > 10 * mean(waits.slice(0, 3)));
    });
  });

  const invalid: [string, Record<string, unknown>, string][] = [
    ['an unknown class', { 'accounts/0': [accountOf('nowhere')] }, 'accounts[0]'],
    ['a row of the wrong shape', { limits: [{ id: 'l' }] }, 'limits[0].tokensPerSecond'],
    ['an id used twice', { models: [{ id: 'a' }, { id: 'a' }] }, 'models[1].id'],
    ['something that is no list', { models: 7 }, 'models'],
  ];
  invalid.forEach(([title, changed, path]) => {
    describe(`with ${title}`, () => {
      it('is refused with path and reason, is not asked for again, and a later one is taken', (t) => {
        const state = createTableState();
        offerWhole(state, publishTable(1));
        const refused = offerWhole(state, publishTable(2, 3, changed));
        t.is(refused.kind, 'refused');
        t.is(refused.kind === 'refused' ? refused.faults[0]!.path : '', path);
        t.true(state.refused!.faults[0]!.startsWith(path));
        t.is(tableRevision(state), 1);
        t.is(offerManifest(state, publishTable(2, 3, changed).manifest, null, NOW).kind, 'ignored');
        t.deepEqual(takeDueFetches(state, NOW + 60_000), []);
        t.is(offerWhole(state, publishTable(3)).kind, 'accepted');
        t.is(state.refused, null);
      });
    });
  });
});
