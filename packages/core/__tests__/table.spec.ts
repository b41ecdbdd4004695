import { describe, it, publishTable, type PublishedTable } from '@filbertlatch/core/testing';

import {
  createRandom,
  createTableState,
  digestText,
  offerManifest,
  offerSheet,
  recordFetchFailure,
  tableRevision,
  takeDueFetches,
  type OfferResult,
  type TableState,
} from '../src/index.js';

const NOW = 1_000_000;

function offerText(state: TableState, sheet: string, text: string): OfferResult {
  return offerSheet(state, sheet, digestText(text), text);
}

function offerTable(state: TableState, table: PublishedTable, now = NOW): OfferResult {
  let result = offerManifest(state, table.manifest, null, now);
  table.texts.forEach((text, sheet) => {
    const next = offerText(state, sheet, text);
    if (next.kind !== 'ignored') result = next;
  });
  return result;
}

function createAccountRow(defaultClass: string): unknown {
  return { id: 'station', keyDigest: 'a'.repeat(64), homeRegion: 'r', defaultClass };
}

function activeWeight(state: TableState): number | undefined {
  return state.view?.classes.get('headline')?.weight;
}

describe('a table', () => {
  describe('with all its sheets', () => {
    it('becomes active', (t) => {
      const state = createTableState();
      t.deepEqual(offerTable(state, publishTable(3)), { kind: 'accepted', revision: 3 });
      t.is(tableRevision(state), 3);
    });

    it('needs fetches only of the sheets that changed', (t) => {
      const state = createTableState();
      offerTable(state, publishTable(1));
      t.is(offerManifest(state, publishTable(2).manifest, null, NOW).kind, 'wanted');
      t.deepEqual(
        takeDueFetches(state, NOW).map(({ sheet }) => sheet),
        ['classes'],
      );
    });

    it('becomes active at once when it has only sheets that are already known', (t) => {
      const state = createTableState();
      offerTable(state, publishTable(1, 5));
      t.is(offerManifest(state, publishTable(2, 5).manifest, null, NOW).kind, 'accepted');
    });
  });

  const stale: [string, PublishedTable][] = [
    ['a lower revision', publishTable(2)],
    ['the same revision and content', publishTable(3)],
  ];
  stale.forEach(([title, table]) => {
    describe(`with ${title} offered later`, () => {
      it('stays active unchanged', (t) => {
        const state = createTableState();
        offerTable(state, publishTable(3));
        t.is(offerTable(state, table).kind, 'ignored');
        t.is(tableRevision(state), 3);
        t.is(activeWeight(state), 4);
      });
    });
  });

  describe('with two contents under one revision', () => {
    it('keeps the first and reports the second once', (t) => {
      const state = createTableState();
      offerTable(state, publishTable(3, 4));
      const other = publishTable(3, 9);
      t.deepEqual(offerManifest(state, other.manifest, null, NOW), {
        kind: 'conflict',
        revision: 3,
      });
      t.is(offerManifest(state, other.manifest, null, NOW).kind, 'ignored');
      t.is(activeWeight(state), 4);
    });
  });

  describe('with some sheets missing', () => {
    it('is not activated, and the earlier one stays active', (t) => {
      const state = createTableState();
      offerTable(state, publishTable(1));
      offerManifest(state, publishTable(2).manifest, null, NOW);
      t.is(tableRevision(state), 1);
      t.is(activeWeight(state), 2);
    });

    it('is replaced by a lower revision only after it has stalled', (t) => {
      const state = createTableState();
      offerTable(state, publishTable(1));
      offerManifest(state, publishTable(8).manifest, null, NOW);
      t.is(offerManifest(state, publishTable(5).manifest, null, NOW + 1000).kind, 'ignored');
      t.is(offerManifest(state, publishTable(5).manifest, null, NOW + 20_000).kind, 'wanted');
      t.is(offerManifest(state, publishTable(1).manifest, null, NOW + 40_000).kind, 'ignored');
    });
  });

  describe('with a sheet read between two revisions', () => {
    it('accepts only the sheet whose digest the manifest names', (t) => {
      const state = createTableState();
      offerTable(state, publishTable(1));
      offerManifest(state, publishTable(2).manifest, null, NOW);
      const torn = offerText(state, 'classes', publishTable(3).texts.get('classes')!);
      t.deepEqual(torn, { kind: 'torn', sheet: 'classes' });
      t.is(tableRevision(state), 1);
      t.is(offerText(state, 'classes', publishTable(2).texts.get('classes')!).kind, 'accepted');
    });
  });

  describe('with a sheet that cannot be fetched', () => {
    it('fetches it again after waits that grow, at most 10 s each', (t) => {
      const state = createTableState();
      const random = createRandom(7);
      offerManifest(state, publishTable(1).manifest, null, NOW);
      takeDueFetches(state, NOW);
      t.deepEqual(
        takeDueFetches(state, NOW + 1),
        [],
        'fetched again while the first fetch is in flight',
      );
      let now = NOW;
      const waits = Array.from({ length: 40 }, () => {
        recordFetchFailure(state, 'models', random, now);
        const wait = state.fetches.get('models')!.nextAt - now;
        now += wait;
        return wait;
      });
      t.true(waits.every((wait) => wait >= 0 && wait <= 10_000));
      const mean = (values: number[]) =>
        values.reduce((sum, wait) => sum + wait, 0) / values.length;
      t.true(mean(waits.slice(20)) > 10 * mean(waits.slice(0, 3)));
    });
  });

  const invalid: [string, Record<string, unknown>, string][] = [
    ['an unknown class', { 'accounts/0': [createAccountRow('nowhere')] }, 'accounts[0]'],
    ['a row of the wrong shape', { limits: [{ id: 'l' }] }, 'limits[0].tokensPerSecond'],
    ['an id used twice', { models: [{ id: 'a' }, { id: 'a' }] }, 'models[1].id'],
    ['a sheet that is not an array', { models: 7 }, 'models'],
  ];
  invalid.forEach(([title, changed, path]) => {
    describe(`with ${title}`, () => {
      it('is refused with path and reason and not fetched again, and a later one is accepted', (t) => {
        const state = createTableState();
        offerTable(state, publishTable(1));
        const refused = offerTable(state, publishTable(2, 3, changed));
        t.is(refused.kind, 'refused');
        t.is(refused.kind === 'refused' ? refused.faults[0]!.path : '', path);
        t.true(state.refused!.faults[0]!.startsWith(path));
        t.is(tableRevision(state), 1);
        t.is(offerManifest(state, publishTable(2, 3, changed).manifest, null, NOW).kind, 'ignored');
        t.deepEqual(takeDueFetches(state, NOW + 60_000), []);
        t.is(offerTable(state, publishTable(3)).kind, 'accepted');
        t.is(state.refused, null);
      });
    });
  });
});
