import { digestText } from '../shared/index.js';
import type { Account, Class, Manifest } from '../types/index.js';
import type { Sheet, TableState } from './state.js';

/** Time after which a wanted revision that is still incomplete may be replaced by a lower one. */
const STALL_TIMEOUT_MS = 10_000;

function matchesDigest(sheet: Sheet, digest: string | null): boolean {
  return digest === null || sheet.digest === digest;
}

/** Returns the revision of the active table; -1 before the first. */
export function tableRevision(state: TableState): number {
  return state.manifest?.revision ?? -1;
}

/** Finds the account that an API key belongs to, by the key's SHA-256 digest. */
export function findAccount(state: TableState, keyDigest: string): Account | undefined {
  return state.view?.accountsByKeyDigest.get(keyDigest);
}

/** Finds a class of the active table by its id. */
export function findClass(state: TableState, id: string): Class | undefined {
  return state.view?.classes.get(id);
}

/** Returns a digest of a manifest's sheets: equal digests mean the same table content. */
export function digestManifest(manifest: Manifest): string {
  const names = Object.keys(manifest.sheets).sort();
  return digestText(names.map((name) => `${name}=${manifest.sheets[name]!.digest}`).join('\n'));
}

/** Returns the digest of the active table; empty before the first. */
export function tableDigest(state: TableState): string {
  return state.digest;
}

/** Returns the highest revision known: active, wanted or refused; -1 before the first. */
export function highestKnownRevision(state: TableState): number {
  return Math.max(
    state.manifest?.revision ?? -1,
    state.wanted?.manifest.revision ?? -1,
    state.refused?.revision ?? -1,
  );
}

/**
 * Returns the text of a sheet, active or fetched for the wanted revision, that has the digest (any
 * digest if null); null when there is none.
 */
export function readSheet(state: TableState, name: string, digest: string | null): string | null {
  const sheets = [state.sheets.get(name), state.fetched.get(name)];
  return sheets.find((sheet) => sheet !== undefined && matchesDigest(sheet, digest))?.text ?? null;
}

/**
 * Says whether a revision is to be fetched: it is higher than any known, or lies between the active
 * (or refused) revision and a wanted one that has stalled.
 */
export function isWorthFetching(state: TableState, revision: number, now: number): boolean {
  if (revision > highestKnownRevision(state)) return true;
  const { wanted, refused } = state;
  if (wanted === null || now - wanted.since <= STALL_TIMEOUT_MS) return false;
  const isBelowWanted = revision < wanted.manifest.revision;
  return isBelowWanted && revision > Math.max(tableRevision(state), refused?.revision ?? -1);
}

/** Says whether a fetch of a sheet of the wanted revision has failed so far. */
export function hasFailedFetches(state: TableState): boolean {
  return [...state.fetches.values()].some((fetch) => fetch.failures > 0);
}
