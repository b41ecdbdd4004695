import { randomInteger } from '../shared/index.js';
import { listReachablePeers } from '../membership/index.js';
import { hasFailedFetches, takeDueFetches, type SheetFetch } from '../table/index.js';
import type { Vm } from '../types/index.js';
import type { Action } from './action.js';
import type { Core } from './core.js';

/** Minimum interval between two fetches of the manifest while fetches of its sheets fail. */
const MIN_MANIFEST_RETRY_MS = 2000;

/** Chooses at random a reachable peer that has a table revision, or a later one. */
function choosePeerWithRevision(core: Core, revision: number, now: number): Vm | null {
  const { members } = core.membership;
  const peers = listReachablePeers(core.membership, now).filter(
    (vm) => (members.get(vm.id)?.heartbeat?.tableRevision ?? -1) >= revision,
  );
  return peers[randomInteger(core.random, peers.length)] ?? null;
}

/**
 * Returns the peer to fetch a sheet from, or null for the configuration service. The first fetch
 * goes to the kind of source that sent the manifest, and each retry to the other kind. A starting
 * VM needs all sheets at once and tries peers first, to spare the service.
 */
function chooseSource(core: Core, { failures }: SheetFetch, now: number): Vm | null {
  const wanted = core.table.wanted!;
  const startsWithPeers = wanted.toldBy !== null || core.table.view === null;
  const isPeersTurn = startsWithPeers === (failures % 2 === 0);
  return isPeersTurn ? choosePeerWithRevision(core, wanted.manifest.revision, now) : null;
}

/** Fetches the missing sheets that are due, and the manifest again while fetches fail. */
export function fetchSheets(core: Core, now: number, actions: Action[]): void {
  const { table } = core;
  if (table.wanted === null) return;
  takeDueFetches(table, now).forEach((fetch) => {
    const { sheet, digest } = fetch;
    actions.push({ kind: 'fetch-sheet', sheet, digest, peer: chooseSource(core, fetch, now) });
  });
  if (!hasFailedFetches(table) || now < table.nextManifestRetryAt) return;
  // The sheet may be missing because a newer revision has replaced it.
  table.nextManifestRetryAt = now + MIN_MANIFEST_RETRY_MS * (1 + core.random.next());
  actions.push({ kind: 'fetch-manifest', peer: null });
}
