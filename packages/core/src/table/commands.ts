import type { Manifest, Table } from '../types/index.js';
import { checkReferences, checkSheet, type CheckResult, type Fault } from './checkTable.js';
import { digestManifest, isWorthFetching, tableRevision } from './queries.js';
import { createTableView, type Sheet, type TableState, type WantedTable } from './state.js';

/** Result of offering a manifest or a sheet to the table state. */
export type OfferResult =
  | { readonly kind: 'ignored' }
  /** Sheets of a new revision are missing; `takeDueFetches` returns those to fetch. */
  | { readonly kind: 'wanted'; readonly revision: number }
  /** The digest is not the one in the manifest: the sheet was read between two revisions. */
  | { readonly kind: 'torn'; readonly sheet: string }
  /** Another content than the active one was offered under the active revision. */
  | { readonly kind: 'conflict'; readonly revision: number }
  | { readonly kind: 'accepted'; readonly revision: number }
  | { readonly kind: 'refused'; readonly revision: number; readonly faults: readonly Fault[] };

/** Maximum length of a text that is no JSON in a fault; the rest is cut off. */
const MAX_FOUND_CHARACTERS = 60;

const IGNORED: OfferResult = { kind: 'ignored' };

function parseRows(name: string, text: string): CheckResult<readonly unknown[]> {
  try {
    return checkSheet(name, JSON.parse(text));
  } catch {
    const found = text.slice(0, MAX_FOUND_CHARACTERS);
    return { ok: false, faults: [{ path: name, expected: 'a JSON array of rows', found }] };
  }
}

function findSheet(state: TableState, name: string, digest: string): Sheet | undefined {
  return [state.fetched.get(name), state.sheets.get(name)].find(
    (sheet) => sheet?.digest === digest,
  );
}

function assembleTable(manifest: Manifest, sheets: ReadonlyMap<string, Sheet>): Table {
  const rowsOf = (prefix: string) =>
    Object.keys(manifest.sheets)
      .filter((name) => name === prefix || name.startsWith(`${prefix}/`))
      .flatMap((name) => sheets.get(name)?.rows ?? []);
  // The rows of each sheet were checked against their schema by `offerSheet`.
  return {
    revision: manifest.revision,
    classes: rowsOf('classes'),
    accounts: rowsOf('accounts'),
    models: rowsOf('models'),
    endpoints: rowsOf('endpoints'),
    limits: rowsOf('limits'),
  } as Table;
}

function clearWanted(state: TableState): void {
  state.wanted = null;
  state.fetched = new Map();
  state.fetches = new Map();
}

function refuseWanted(
  state: TableState,
  { manifest: { revision } }: WantedTable,
  faults: readonly Fault[],
): OfferResult {
  clearWanted(state);
  const reasons = faults.map((f) => `${f.path}: expected ${f.expected}, found ${f.found}`);
  state.refused = { revision, faults: reasons };
  return { kind: 'refused', revision, faults };
}

function activateWanted(state: TableState, wanted: WantedTable): OfferResult {
  const { manifest } = wanted;
  const sheets = new Map(
    Object.entries(manifest.sheets).map(([name, position]): [string, Sheet] => [
      name,
      findSheet(state, name, position.digest)!,
    ]),
  );
  const table = assembleTable(manifest, sheets);
  const faults = checkReferences(table);
  if (faults.length > 0) return refuseWanted(state, wanted, faults);
  clearWanted(state);
  state.sheets = sheets;
  state.manifest = manifest;
  state.digest = digestManifest(manifest);
  state.view = createTableView(table);
  state.refused = null;
  return { kind: 'accepted', revision: manifest.revision };
}

function listMissingSheets(state: TableState, manifest: Manifest) {
  return Object.entries(manifest.sheets)
    .filter(([name, position]) => findSheet(state, name, position.digest) === undefined)
    .map(([sheet, position]) => ({ sheet, digest: position.digest }));
}

/**
 * Records a conflict when a peer or the service has another digest for the active revision; true the
 * first time that digest is seen.
 */
export function recordConflict(state: TableState, revision: number, digest: string): boolean {
  if (digest === '' || revision !== tableRevision(state) || digest === state.digest) return false;
  if (state.conflict?.revision === revision && state.conflict.digest === digest) return false;
  state.conflict = { revision, digest };
  return true;
}

/**
 * Starts fetching a manifest's sheets if its revision is higher than any known; the active revision
 * never decreases. A revision below the wanted one replaces it only when its fetches have stalled.
 * `peerId` is the peer that sent the manifest; null when it was the configuration service.
 */
export function offerManifest(
  state: TableState,
  manifest: Manifest,
  peerId: string | null,
  now: number,
): OfferResult {
  const { revision } = manifest;
  if (recordConflict(state, revision, digestManifest(manifest))) {
    return { kind: 'conflict', revision };
  }
  if (!isWorthFetching(state, revision, now)) return IGNORED;
  const wanted = { manifest, since: now, toldBy: peerId };
  state.wanted = wanted;
  const missing = listMissingSheets(state, manifest);
  if (missing.length === 0) return activateWanted(state, wanted);
  const failuresOf = (sheet: string) => state.fetches.get(sheet)?.failures ?? 0;
  state.fetches = new Map(
    missing.map((m) => [m.sheet, { ...m, failures: failuresOf(m.sheet), nextAt: now }]),
  );
  return { kind: 'wanted', revision };
}

/** Accepts the text of a wanted sheet; activates the table when no other sheet is missing. */
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
  return state.fetches.size > 0 ? IGNORED : activateWanted(state, wanted);
}
