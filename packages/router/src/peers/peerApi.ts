import type { PeerCall, PeerReply } from '@filbertlatch/core';
import { Hono } from 'hono';
import { bodyLimit } from 'hono/body-limit';
import { JSONRPCErrorCode, JSONRPCErrorException, JSONRPCServer } from 'json-rpc-2.0';

import type { ControlTraffic } from '../metrics/index.js';
import { peerCallSchema, peerMethods } from './peerProtocol.js';
import { areSecretsEqual } from './secretsEqual.js';

const MOST_BODY_BYTES = 2_097_152;

function parseCall(method: string, params: unknown): PeerCall {
  const fields = typeof params === 'object' && params !== null ? params : {};
  const parsed = peerCallSchema.safeParse({ ...fields, method });
  if (parsed.success) return parsed.data;
  const message = parsed.error.issues[0]?.message ?? 'invalid';
  throw new JSONRPCErrorException(message, JSONRPCErrorCode.InvalidParams);
}

/** Creates the API that other VMs call. */
export function createPeerApi(
  sharedKey: string,
  traffic: ControlTraffic,
  handle: (call: PeerCall) => Promise<PeerReply>,
): Hono {
  const server = new JSONRPCServer();
  peerMethods.forEach((method) => {
    server.addMethod(method, (params) => handle(parseCall(method, params)));
  });
  const api = new Hono();
  api.use(bodyLimit({ maxSize: MOST_BODY_BYTES }));
  api.post('/rpc', async (c) => {
    const key = c.req.header('authorization')?.replace(/^Bearer /, '') ?? '';
    if (!areSecretsEqual(key, sharedKey)) return c.json({ error: 'unauthorized' }, 401);
    const text = await c.req.text();
    traffic.add('peers', 'received', Buffer.byteLength(text));
    const reply = await server.receiveJSON(text);
    if (reply === null) return c.body(null, 204);
    const answer = JSON.stringify(reply);
    traffic.add('peers', 'sent', Buffer.byteLength(answer));
    return c.body(answer, 200, { 'content-type': 'application/json' });
  });
  return api;
}
