import { match } from 'ts-pattern';

import { adoptClaimList } from '../claims/index.js';
import { completeRecheckPart, updateVmList } from '../membership/index.js';
import {
  offerManifest,
  offerSheet,
  recordFetchFailure,
  type Fault,
  type OfferResult,
} from '../table/index.js';
import type { Action } from './action.js';
import type { Core } from './core.js';
import { increment } from './counters.js';
import { dispatchWaiting } from './dispatchWaiting.js';
import { fetchSheets } from './fetchSheets.js';
import type { MessageOf, OfferSource } from './message.js';
import { requestHeartbeats } from './recheck.js';

/** Validation faults of a refused table that its log line names. */
const MAX_FAULTS_LOGGED = 3;

function dispatchAllPools(core: Core, now: number, actions: Action[]): void {
  for (const pool of core.admission.pools.keys()) dispatchWaiting(core, pool, now, actions);
}

function onTableAccepted(core: Core, revision: number, now: number, actions: Action[]): void {
  increment(core, 'tables_accepted');
  const fields = { revision };
  actions.push({ kind: 'state-changed', level: 'info', code: 'table_accepted', fields });
  dispatchAllPools(core, now, actions);
}

function onTableRefused(
  core: Core,
  revision: number,
  faults: readonly Fault[],
  actions: Action[],
): void {
  increment(core, 'tables_refused');
  const reasons = faults
    .slice(0, MAX_FAULTS_LOGGED)
    .map((fault) => `${fault.path}: expected ${fault.expected}, found ${fault.found}`)
    .join('; ');
  const fields = { revision, reasons };
  actions.push({ kind: 'state-changed', level: 'error', code: 'table_refused', fields });
}

function recordMissingSheet(core: Core, sheet: string, now: number): void {
  if (recordFetchFailure(core.table, sheet, core.random, now)) increment(core, 'sheets_missing');
}

function applyOfferResult(core: Core, result: OfferResult, now: number, actions: Action[]): void {
  match(result)
    .with({ kind: 'ignored' }, () => {})
    .with({ kind: 'wanted' }, () => {})
    .with({ kind: 'torn' }, ({ sheet }) => recordMissingSheet(core, sheet, now))
    .with({ kind: 'conflict' }, ({ revision }) => {
      increment(core, 'table_conflicts');
      const fields = { revision };
      actions.push({ kind: 'state-changed', level: 'error', code: 'table_conflict', fields });
    })
    .with({ kind: 'accepted' }, ({ revision }) => onTableAccepted(core, revision, now, actions))
    .with({ kind: 'refused' }, ({ revision, faults }) =>
      onTableRefused(core, revision, faults, actions),
    )
    .exhaustive();
  fetchSheets(core, now, actions);
}

function peerIdOf(source: OfferSource): string | null {
  return source === 'service' ? null : source.peer;
}

/** Processes a manifest of the table. */
export function onManifestOffered(
  core: Core,
  message: MessageOf<'manifest-offered'>,
  now: number,
  actions: Action[],
): void {
  const { manifest, source } = message;
  if (source === 'service') {
    core.table.heardAt = now;
    completeRecheckPart(core.membership, 'table');
  }
  applyOfferResult(core, offerManifest(core.table, manifest, peerIdOf(source), now), now, actions);
}

/** Processes one sheet of the table. */
export function onSheetOffered(
  core: Core,
  message: MessageOf<'sheet-offered'>,
  now: number,
  actions: Action[],
): void {
  const { sheet, digest, text } = message;
  applyOfferResult(core, offerSheet(core.table, sheet, digest, text), now, actions);
}

/** Records that a sheet could not be fetched; it is fetched again later, or from another source. */
export function onSheetMissing(
  core: Core,
  { sheet }: MessageOf<'sheet-missing'>,
  now: number,
): void {
  recordMissingSheet(core, sheet, now);
}

/** Processes a published VM list. */
export function onListOffered(
  core: Core,
  { list, source = 'service' }: MessageOf<'list-offered'>,
  now: number,
  actions: Action[],
): void {
  const { membership } = core;
  const previousReceivedAt = membership.listReceivedAt;
  adoptClaimList(core.claims, list, now);
  const isNewer = updateVmList(membership, list, now);
  if (source === 'service') completeRecheckPart(membership, 'list');
  // A peer's copy does not show that the platform is reachable: the list's age stays.
  else membership.listReceivedAt = previousReceivedAt;
  if (isNewer) {
    increment(core, 'lists_accepted');
    const fields = { revision: list.revision, vms: list.vms.length };
    actions.push({ kind: 'state-changed', level: 'info', code: 'list_accepted', fields });
  }
  requestHeartbeats(core, now, actions);
  if (isNewer) dispatchAllPools(core, now, actions);
}

/** Records that the platform answered without changes. */
export function onPlatformUnchanged(
  core: Core,
  { part }: MessageOf<'platform-unchanged'>,
  now: number,
): void {
  if (part === 'list') core.membership.listReceivedAt = now;
  else core.table.heardAt = now;
  completeRecheckPart(core.membership, part === 'list' ? 'list' : 'table');
}

/** Records that the platform could not be read; the last known state stays in force. */
export function onPlatformFailed(
  core: Core,
  { part }: MessageOf<'platform-failed'>,
  now: number,
  actions: Action[],
): void {
  completeRecheckPart(core.membership, part === 'list' ? 'list' : 'table');
  requestHeartbeats(core, now, actions);
}
