import type { PeerCall, PeerReply } from '@filbertlatch/core';
import { Hono } from 'hono';
import { bodyLimit } from 'hono/body-limit';
import {
  createJSONRPCErrorResponse,
  isJSONRPCRequest,
  JSONRPCErrorCode,
  JSONRPCErrorException,
  JSONRPCServer,
  type JSONRPCResponse,
} from 'json-rpc-2.0';

import type { ControlTraffic } from '../metrics/index.js';
import { isOneOfSecrets } from '../security/index.js';
import { peerCallSchema, peerMethods } from './peerProtocol.js';

const MAX_BODY_BYTES = 2_097_152;

function parseCall(method: string, params: unknown): PeerCall {
  const fields = typeof params === 'object' && params !== null ? params : {};
  const parsed = peerCallSchema.safeParse({ ...fields, method });
  if (parsed.success) return parsed.data;
  const message = parsed.error.issues[0]?.message ?? 'invalid';
  throw new JSONRPCErrorException(message, JSONRPCErrorCode.InvalidParams);
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

async function answerCall(server: JSONRPCServer, text: string): Promise<JSONRPCResponse | null> {
  const value = parseJson(text);
  if (value === undefined) {
    return createJSONRPCErrorResponse(null, JSONRPCErrorCode.ParseError, 'not JSON');
  }
  // json-rpc-2.0 throws on null, and a batch would bypass the limits on a single call.
  if (typeof value !== 'object' || value === null || !isJSONRPCRequest(value)) {
    return createJSONRPCErrorResponse(null, JSONRPCErrorCode.InvalidRequest, 'not one call');
  }
  return server.receive(value);
}

/** Creates the JSON-RPC API that other VMs call; `handle` carries out one valid call. */
export function createPeerApi(
  readKeys: () => readonly string[],
  traffic: ControlTraffic,
  handle: (call: PeerCall) => Promise<PeerReply>,
): Hono {
  const server = new JSONRPCServer({
    // The caller gets the error; logging each one would let a single peer flood the log.
    errorListener: () => {},
  });
  peerMethods.forEach((method) => {
    server.addMethod(method, (params) => handle(parseCall(method, params)));
  });
  const api = new Hono();
  api.use(bodyLimit({ maxSize: MAX_BODY_BYTES }));
  api.post('/rpc', async (c) => {
    const keys = readKeys();
    const key = c.req.header('authorization')?.match(/^Bearer (\S+)$/i)?.[1] ?? '';
    // Without keys, the listener uses mutual TLS or accepts loopback connections only.
    if (keys.length > 0 && !isOneOfSecrets(key, keys)) {
      return c.json({ error: 'unauthorized' }, 401);
    }
    const text = await c.req.text();
    traffic.add('peers', 'received', Buffer.byteLength(text));
    const reply = await answerCall(server, text);
    if (reply === null) return c.body(null, 204);
    const answer = JSON.stringify(reply);
    traffic.add('peers', 'sent', Buffer.byteLength(answer));
    return c.body(answer, 200, { 'content-type': 'application/json' });
  });
  api.notFound((c) => c.json({ error: 'not found' }, 404));
  api.onError((error, c) => c.json({ error: error.name }, 500));
  return api;
}
