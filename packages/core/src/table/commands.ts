import type { Manifest } from '../types/index.js';
import { checkTable, type Fault } from './checkTable.js';
import { createTableView, type Sheet, type TableState } from './state.js';

/** What came of an offered manifest or sheet. */
export type OfferResult =
  | { readonly kind: 'ignored' }
  | { readonly kind: 'fetch'; readonly sheets: readonly { sheet: string; digest: string }[] }
  | { readonly kind: 'accepted'; readonly revision: number }
  | { readonly kind: 'refused'; readonly revision: number; readonly faults: readonly Fault[] };

function parseRows(text: string): readonly unknown[] | null {
  try {
    const rows: unknown = JSON.parse(text);
    return Array.isArray(rows) ? rows : null;
  } catch {
    return null;
  }
}

function collectRows(manifest: Manifest, sheets: ReadonlyMap<string, Sheet>): unknown {
  const rowsOf = (prefix: string) =>
    Object.keys(manifest.sheets)
      .filter((name) => name === prefix || name.startsWith(`${prefix}/`))
      .flatMap((name) => sheets.get(name)?.rows ?? []);
  return {
    revision: manifest.revision,
    classes: rowsOf('classes'),
    accounts: rowsOf('accounts'),
    models: rowsOf('models'),
    endpoints: rowsOf('endpoints'),
    limits: rowsOf('limits'),
  };
}

function findSheet(state: TableState, name: string, digest: string): Sheet | undefined {
  return [state.fetched.get(name), state.sheets.get(name)].find(
    (sheet) => sheet?.digest === digest,
  );
}

function listMissing(state: TableState, wanted: Manifest) {
  return Object.entries(wanted.sheets)
    .filter(([name, position]) => findSheet(state, name, position.digest) === undefined)
    .map(([sheet, position]) => ({ sheet, digest: position.digest }));
}

function completeWanted(state: TableState, wanted: Manifest): OfferResult {
  const sheets = new Map(
    Object.entries(wanted.sheets).map(([name, position]): [string, Sheet] => [
      name,
      findSheet(state, name, position.digest)!,
    ]),
  );
  const checked = checkTable(collectRows(wanted, sheets));
  state.wanted = null;
  state.fetched = new Map();
  if (!checked.ok) {
    const faults = checked.faults.map((f) => `${f.path}: expected ${f.expected}, found ${f.found}`);
    state.refused = { revision: wanted.revision, faults };
    return { kind: 'refused', revision: wanted.revision, faults: checked.faults };
  }
  state.sheets = sheets;
  state.manifest = wanted;
  state.view = createTableView(checked.value);
  state.refused = null;
  return { kind: 'accepted', revision: wanted.revision };
}

/** Takes a manifest with a higher revision than any seen and says which sheets to fetch. */
export function offerManifest(state: TableState, manifest: Manifest): OfferResult {
  const highest = Math.max(
    state.manifest?.revision ?? -1,
    state.wanted?.revision ?? -1,
    state.refused?.revision ?? -1,
  );
  if (manifest.revision <= highest) return { kind: 'ignored' };
  state.wanted = manifest;
  const missing = listMissing(state, manifest);
  if (missing.length > 0) return { kind: 'fetch', sheets: missing };
  return completeWanted(state, manifest);
}

/** Takes a sheet's text; puts the table in force when it was the last one missing. */
export function offerSheet(
  state: TableState,
  name: string,
  digest: string,
  text: string,
): OfferResult {
  const { wanted } = state;
  if (wanted === null || wanted.sheets[name]?.digest !== digest) return { kind: 'ignored' };
  const rows = parseRows(text);
  if (rows === null) {
    state.wanted = null;
    const faults = [{ path: name, expected: 'a JSON array of rows', found: text.slice(0, 60) }];
    state.refused = { revision: wanted.revision, faults: [`${name} is not a JSON array`] };
    return { kind: 'refused', revision: wanted.revision, faults };
  }
  state.fetched.set(name, { name, digest, text, rows });
  if (listMissing(state, wanted).length > 0) return { kind: 'ignored' };
  return completeWanted(state, wanted);
}
