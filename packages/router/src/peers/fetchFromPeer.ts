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

async function requestPart(client: PeerClient, fetch: FetchAction): Promise<Partial<SheetReply>> {
  const sheet = fetch.kind === 'fetch-sheet' ? fetch.sheet : fetch.kind.slice('fetch-'.length);
  const digest = fetch.kind === 'fetch-sheet' ? fetch.digest : null;
  const reply: unknown = await client.call(fetch.peer!, { method: 'sheet', sheet, digest });
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
  fetch: FetchAction,
): Promise<Message | null> {
  const source = { peer: fetch.peer!.id };
  const reply = await requestPart(client, fetch);
  if (fetch.kind === 'fetch-sheet') {
    const { sheet } = fetch;
    if (typeof reply.text !== 'string') return { kind: 'sheet-missing', source, sheet };
    const digest = digestSheet(reply.text);
    return { kind: 'sheet-offered', source, sheet, digest, text: reply.text };
  }
  if (fetch.kind === 'fetch-manifest') {
    const checked = checkShape(manifestSchema, reply.manifest);
    return checked.ok ? { kind: 'manifest-offered', source, manifest: checked.value } : null;
  }
  const checked = checkShape(vmListSchema, reply.list);
  return checked.ok ? { kind: 'list-offered', source, list: checked.value } : null;
}
