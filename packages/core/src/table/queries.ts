import { digestText } from '../shared/index.js';
import type { Account, Class, Manifest } from '../types/index.js';
import type { Sheet, TableState } from './state.js';

/** Time after which a revision that is still incomplete may give way to a lower one. */
const STALLED_MS = 10_000;

function isAsked(sheet: Sheet, digest: string | null): boolean {
  return digest === null || sheet.digest === digest;
}

/** Returns the revision in force, or -1 before the first table. */
export function tableRevision(state: TableState): number {
  return state.manifest?.revision ?? -1;
}

/** Finds the account that an API key belongs to, by the key's SHA-256 digest. */
export function findAccount(state: TableState, keyDigest: string): Account | undefined {
  return state.view?.accountsByKeyDigest.get(keyDigest);
}

/** Finds a class by its id. */
export function findClass(state: TableState, id: string): Class | undefined {
  return state.view?.classes.get(id);
}

/** Returns a digest of what a manifest names: two equal digests are the same table. */
export function digestManifest(manifest: Manifest): string {
  const names = Object.keys(manifest.sheets).sort();
  return digestText(names.map((name) => `${name}=${manifest.sheets[name]!.digest}`).join('\n'));
}

/** Returns the digest of the table in force, or an empty text before the first. */
export function tableDigest(state: TableState): string {
  return state.digest;
}

/** Returns the highest revision that needs no further look: in force, on its way or refused. */
export function highestSeen(state: TableState): number {
  return Math.max(
    state.manifest?.revision ?? -1,
    state.wanted?.manifest.revision ?? -1,
    state.refused?.revision ?? -1,
  );
}

/** Returns the text of a sheet in force or just fetched, if its digest is the one asked for. */
export function readSheet(state: TableState, name: string, digest: string | null): string | null {
  const sheets = [state.sheets.get(name), state.fetched.get(name)];
  return sheets.find((sheet) => sheet !== undefined && isAsked(sheet, digest))?.text ?? null;
}

/**
 * Says whether a revision is to be fetched: it is higher than any seen, or higher than the one
 * in force while the one on its way cannot be had.
 */
export function isWorthFetching(state: TableState, revision: number, now: number): boolean {
  if (revision > highestSeen(state)) return true;
  const { wanted, refused } = state;
  if (wanted === null || now - wanted.since <= STALLED_MS) return false;
  const isBelowWanted = revision < wanted.manifest.revision;
  return isBelowWanted && revision > Math.max(tableRevision(state), refused?.revision ?? -1);
}

/** Says whether sheets of the revision on its way could not be had so far. */
export function hasFailedFetches(state: TableState): boolean {
  return [...state.fetches.values()].some((fetch) => fetch.failures > 0);
}
