import type { Account, Class, SheetPosition } from '../types/index.js';
import type { TableState } from './state.js';

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

/** Lists the positions of the sheets in force. */
export function listPositions(state: TableState): SheetPosition[] {
  return Object.entries(state.manifest?.sheets ?? {}).map(([sheet, position]) => ({
    sheet,
    ...position,
  }));
}
