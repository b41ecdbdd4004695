import type { Manifest, Table } from '../types/index.js';
import { checkReferences, checkSheet, type Checked, type Fault } from './checkTable.js';
import { digestManifest, isWorthFetching, tableRevision } from './queries.js';
import { createTableView, type Sheet, type TableState, type Wanted } from './state.js';

/** What came of an offered manifest or sheet. */
export type OfferResult =
  | { readonly kind: 'ignored' }
  /** Sheets of a new revision are missing; `listDueFetches` tells which to ask for. */
  | { readonly kind: 'wanted'; readonly revision: number }
  /** The content is not the one that the manifest names: it was read between two revisions. */
  | { readonly kind: 'torn'; readonly sheet: string }
  | { readonly kind: 'conflict'; readonly revision: number }
  | { readonly kind: 'accepted'; readonly revision: number }
  | { readonly kind: 'refused'; readonly revision: number; readonly faults: readonly Fault[] };

const LONGEST_FOUND = 60;

const IGNORED: OfferResult = { kind: 'ignored' };

function parseRows(name: string, text: string): Checked<readonly unknown[]> {
  try {
    return checkSheet(name, JSON.parse(text));
  } catch {
    const found = text.slice(0, LONGEST_FOUND);
    return { ok: false, faults: [{ path: name, expected: 'a JSON array of rows', found }] };
  }
}

function findSheet(state: TableState, name: string, digest: string): Sheet | undefined {
  return [state.fetched.get(name), state.sheets.get(name)].find(
    (sheet) => sheet?.digest === digest,
  );
}

function collectTable(manifest: Manifest, sheets: ReadonlyMap<string, Sheet>): Table {
  const rowsOf = (prefix: string) =>
    Object.keys(manifest.sheets)
      .filter((name) => name === prefix || name.startsWith(`${prefix}/`))
      .flatMap((name) => sheets.get(name)?.rows ?? []);
  // Each sheet's rows were checked against their schema when the sheet came in.
  return {
    revision: manifest.revision,
    classes: rowsOf('classes'),
    accounts: rowsOf('accounts'),
    models: rowsOf('models'),
    endpoints: rowsOf('endpoints'),
    limits: rowsOf('limits'),
  } as Table;
}

function dropWanted(state: TableState): void {
  state.wanted = null;
  state.fetched = new Map();
  state.fetches = new Map();
}

function refuseWanted(
  state: TableState,
  { manifest: { revision } }: Wanted,
  faults: readonly Fault[],
): OfferResult {
  dropWanted(state);
  const reasons = faults.map((f) => `${f.path}: expected ${f.expected}, found ${f.found}`);
  state.refused = { revision, faults: reasons };
  return { kind: 'refused', revision, faults };
}

function completeWanted(state: TableState, wanted: Wanted): OfferResult {
  const { manifest } = wanted;
  const sheets = new Map(
    Object.entries(manifest.sheets).map(([name, position]): [string, Sheet] => [
      name,
      findSheet(state, name, position.digest)!,
    ]),
  );
  const table = collectTable(manifest, sheets);
  const faults = checkReferences(table);
  if (faults.length > 0) return refuseWanted(state, wanted, faults);
  dropWanted(state);
  state.sheets = sheets;
  state.manifest = manifest;
  state.digest = digestManifest(manifest);
  state.view = createTableView(table);
  state.refused = null;
  return { kind: 'accepted', revision: manifest.revision };
}

function listMissing(state: TableState, manifest: Manifest) {
  return Object.entries(manifest.sheets)
    .filter(([name, position]) => findSheet(state, name, position.digest) === undefined)
    .map(([sheet, position]) => ({ sheet, digest: position.digest }));
}

/** Notes the content under a revision; true when it is a second one, seen for the first time. */
export function noteConflict(state: TableState, revision: number, digest: string): boolean {
  if (digest === '' || revision !== tableRevision(state) || digest === state.digest) return false;
  if (state.conflict?.revision === revision && state.conflict.digest === digest) return false;
  state.conflict = { revision, digest };
  return true;
}

/**
 * Takes a manifest with a higher revision than any seen; the revision in force never falls.
 * A lower one than the one on its way is taken only when that one has stalled.
 */
export function offerManifest(
  state: TableState,
  manifest: Manifest,
  toldBy: string | null,
  now: number,
): OfferResult {
  const { revision } = manifest;
  if (noteConflict(state, revision, digestManifest(manifest))) {
    return { kind: 'conflict', revision };
  }
  if (!isWorthFetching(state, revision, now)) return IGNORED;
  const wanted = { manifest, since: now, toldBy };
  state.wanted = wanted;
  const missing = listMissing(state, manifest);
  if (missing.length === 0) return completeWanted(state, wanted);
  const failuresOf = (sheet: string) => state.fetches.get(sheet)?.failures ?? 0;
  state.fetches = new Map(
    missing.map((m) => [m.sheet, { ...m, failures: failuresOf(m.sheet), nextAt: now }]),
  );
  return { kind: 'wanted', revision };
}

/** Takes a sheet's text; puts the table in force when it was the last one missing. */
export function offerSheet(
  state: TableState,
  name: string,
  digest: string,
  text: string,
): OfferResult {
  const { wanted } = state;
  const expected = wanted?.manifest.sheets[name]?.digest;
  if (wanted === null || expected === undefined || !state.fetches.has(name)) return IGNORED;
  if (expected !== digest) return { kind: 'torn', sheet: name };
  const checked = parseRows(name, text);
  if (!checked.ok) return refuseWanted(state, wanted, checked.faults);
  state.fetched.set(name, { name, digest, text, rows: checked.value });
  state.fetches.delete(name);
  return state.fetches.size > 0 ? IGNORED : completeWanted(state, wanted);
}
