import { readSheet } from '../table/index.js';
import type { SheetCall, SheetReply } from '../types/index.js';
import type { Action } from './action.js';
import type { Core } from './core.js';

function findReply(core: Core, { sheet, digest }: SheetCall): SheetReply {
  const { manifest } = core.table;
  if (sheet === 'manifest') return { manifest, text: null };
  if (sheet === 'list') return { manifest: null, text: null, list: core.membership.list };
  return { manifest: null, text: readSheet(core.table, sheet, digest) };
}

/** Answers a peer's request for the manifest, the VM list or a sheet; null where it is unknown. */
export function onSheetCalled(
  core: Core,
  callId: string,
  call: SheetCall,
  actions: Action[],
): void {
  actions.push({ kind: 'reply-peer', callId, reply: findReply(core, call) });
}
