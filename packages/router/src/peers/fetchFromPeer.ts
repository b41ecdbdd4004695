import {
  checkShape,
  manifestSchema,
  vmListSchema,
  type ActionOf,
  type Message,
  type SheetReply,
} from '@filbertlatch/core';

import { digestSheet } from '../platform/index.js';
import type { PeerClient } from './peerClient.js';

type FetchAction = ActionOf<'fetch-sheet' | 'fetch-manifest' | 'fetch-list'>;

const EMPTY_REPLY = { manifest: null, text: null };

async function requestPart(client: PeerClient, action: FetchAction): Promise<Partial<SheetReply>> {
  const sheet = action.kind === 'fetch-sheet' ? action.sheet : action.kind.slice('fetch-'.length);
  const digest = action.kind === 'fetch-sheet' ? action.digest : null;
  const reply: unknown = await client.call(action.peer!, { method: 'sheet', sheet, digest });
  return typeof reply === 'object' && reply !== null ? reply : EMPTY_REPLY;
}

/**
 * Asks a peer for a sheet, the manifest or the list of VMs. A sheet that the peer lacks gives
 * `sheet-missing`; a missing or invalid manifest or list gives null. The digest of a sheet is
 * computed from its text, so that a peer can't pass off other content under it.
 * Throws PeerError.
 */
export async function fetchFromPeer(
  client: PeerClient,
  action: FetchAction,
): Promise<Message | null> {
  const source = { peer: action.peer!.id };
  const reply = await requestPart(client, action);
  if (action.kind === 'fetch-sheet') {
    const { sheet } = action;
    if (typeof reply.text !== 'string') return { kind: 'sheet-missing', source, sheet };
    const digest = digestSheet(reply.text);
    return { kind: 'sheet-offered', source, sheet, digest, text: reply.text };
  }
  if (action.kind === 'fetch-manifest') {
    const checked = checkShape(manifestSchema, reply.manifest);
    return checked.ok ? { kind: 'manifest-offered', source, manifest: checked.value } : null;
  }
  const checked = checkShape(vmListSchema, reply.list);
  return checked.ok ? { kind: 'list-offered', source, list: checked.value } : null;
}
