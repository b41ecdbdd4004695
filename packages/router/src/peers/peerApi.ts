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

const MOST_BODY_BYTES = 2_097_152;

function parseCall(method: string, params: unknown): PeerCall {
  const fields = typeof params === 'object' && params !== null ? params : {};
  const parsed = peerCallSchema.safeParse({ ...fields, method });
  if (parsed.success) return parsed.data;
  const message = parsed.error.issues[0]?.message ?? 'invalid';
  throw new JSONRPCErrorException(message, JSONRPCErrorCode.InvalidParams);
}

function parseText(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

async function answerText(server: JSONRPCServer, text: string): Promise<JSONRPCResponse | null> {
  const value = parseText(text);
  if (value === undefined) {
    return createJSONRPCErrorResponse(null, JSONRPCErrorCode.ParseError, 'not JSON');
  }
  // The library would throw at null, and a batch would go around the bounds on one call.
  if (typeof value !== 'object' || value === null || !isJSONRPCRequest(value)) {
    return createJSONRPCErrorResponse(null, JSONRPCErrorCode.InvalidRequest, 'not one call');
  }
  return server.receive(value);
}

/** Creates the API that other VMs call. */
export function createPeerApi(
  readKeys: () => readonly string[],
  traffic: ControlTraffic,
  handle: (call: PeerCall) => Promise<PeerReply>,
): Hono {
  const server = new JSONRPCServer({
    // The caller gets the error; a line for each would let one peer fill the log.
    errorListener: () => {},
  });
  peerMethods.forEach((method) => {
    server.addMethod(method, (params) => handle(parseCall(method, params)));
  });
  const api = new Hono();
  api.use(bodyLimit({ maxSize: MOST_BODY_BYTES }));
  api.post('/rpc', async (c) => {
    const keys = readKeys();
    const key = c.req.header('authorization')?.match(/^Bearer (\S+)$/i)?.[1] ?? '';
    // Without keys the listener's mutual TLS has decided, or it listens on loopback only.
    if (keys.length > 0 && !isOneOfSecrets(key, keys)) {
      return c.json({ error: 'unauthorized' }, 401);
    }
    const text = await c.req.text();
    traffic.add('peers', 'received', Buffer.byteLength(text));
    const reply = await answerText(server, text);
    if (reply === null) return c.body(null, 204);
    const answer = JSON.stringify(reply);
    traffic.add('peers', 'sent', Buffer.byteLength(answer));
    return c.body(answer, 200, { 'content-type': 'application/json' });
  });
  api.notFound((c) => c.json({ error: 'not found' }, 404));
  api.onError((error, c) => c.json({ error: error.name }, 500));
  return api;
}
