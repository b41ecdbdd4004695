import { match } from 'ts-pattern';

import { offerList } from '../membership/index.js';
import { offerManifest, offerSheet, type OfferResult } from '../table/index.js';
import type { Action } from './action.js';
import type { Core } from './core.js';
import { count } from './counters.js';
import { dispatchWaiting } from './dispatchWaiting.js';
import type { MessageOf } from './message.js';

const MOST_FAULTS_LOGGED = 3;

function dispatchAll(core: Core, now: number, actions: Action[]): void {
  for (const pool of core.admission.pools.keys()) dispatchWaiting(core, pool, now, actions);
}

function onOffer(core: Core, result: OfferResult, now: number, actions: Action[]): void {
  match(result)
    .with({ kind: 'ignored' }, () => {})
    .with({ kind: 'fetch' }, ({ sheets }) => {
      sheets.forEach(({ sheet, digest }) => {
        actions.push({ kind: 'fetch-sheet', sheet, digest, peer: null });
      });
    })
    .with({ kind: 'accepted' }, ({ revision }) => {
      count(core, 'tables_accepted');
      const fields = { revision };
      actions.push({ kind: 'state-changed', level: 'info', code: 'table_accepted', fields });
      dispatchAll(core, now, actions);
    })
    .with({ kind: 'refused' }, ({ revision, faults }) => {
      count(core, 'tables_refused');
      const reasons = faults
        .slice(0, MOST_FAULTS_LOGGED)
        .map((fault) => `${fault.path}: expected ${fault.expected}, found ${fault.found}`)
        .join('; ');
      const fields = { revision, reasons };
      actions.push({ kind: 'state-changed', level: 'error', code: 'table_refused', fields });
    })
    .exhaustive();
}

/** Takes in a manifest of the table. */
export function onManifestOffered(
  core: Core,
  message: MessageOf<'manifest-offered'>,
  now: number,
  actions: Action[],
): void {
  if (message.source === 'service') core.table.heardAt = now;
  onOffer(core, offerManifest(core.table, message.manifest), now, actions);
}

/** Takes in one sheet of the table. */
export function onSheetOffered(
  core: Core,
  message: MessageOf<'sheet-offered'>,
  now: number,
  actions: Action[],
): void {
  const { sheet, digest, text } = message;
  onOffer(core, offerSheet(core.table, sheet, digest, text), now, actions);
}

/** Takes in a published list of VMs. */
export function onListOffered(
  core: Core,
  { list }: MessageOf<'list-offered'>,
  now: number,
  actions: Action[],
): void {
  if (!offerList(core.membership, list, now)) return;
  count(core, 'lists_accepted');
  const fields = { revision: list.revision, vms: list.vms.length };
  actions.push({ kind: 'state-changed', level: 'info', code: 'list_accepted', fields });
  dispatchAll(core, now, actions);
}
