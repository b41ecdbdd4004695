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

type Fetch = ActionOf<'fetch-sheet' | 'fetch-manifest' | 'fetch-list'>;

const NO_SHEET = { manifest: null, text: null };

async function ask(client: PeerClient, fetch: Fetch): Promise<Partial<SheetReply>> {
  const sheet = fetch.kind === 'fetch-sheet' ? fetch.sheet : fetch.kind.slice('fetch-'.length);
  const digest = fetch.kind === 'fetch-sheet' ? fetch.digest : null;
  const reply: unknown = await client.call(fetch.peer!, { method: 'sheet', sheet, digest });
  return typeof reply === 'object' && reply !== null ? reply : NO_SHEET;
}

/**
 * Asks a peer for a part of what the platform publishes; null when the peer has it not. The
 * digest of a sheet is computed from its text, so a peer can pass on no other content.
 * Throws PeerError.
 */
export async function fetchFromPeer(client: PeerClient, fetch: Fetch): Promise<Message | null> {
  const source = { peer: fetch.peer!.id };
  const reply = await ask(client, fetch);
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
