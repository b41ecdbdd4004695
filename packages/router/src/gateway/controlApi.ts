import type { RequestListener } from 'node:http';

import { getRequestListener, type HttpBindings } from '@hono/node-server';
import { Hono } from 'hono';
import { bodyLimit } from 'hono/body-limit';
import { HTTPException } from 'hono/http-exception';
import type { JSONRPCRequest, JSONRPCResponse } from 'json-rpc-2.0';

import { parseBoundedJson } from '../bounds/index.js';
import type { GatewayDump } from './dumpGateway.js';

/** A call has no more than a message of gossip. */
const MAX_CALL_BYTES = 262_144;
const MAX_CALL_VALUES = 32_768;

/** Calls that are open at a time; an answer, which may have the whole publication, is held until it is taken. */
const MAX_OPEN_CALLS = 8;

/** Time for a call to come, and for its answer to be taken; its peer gives up before. */
const MAX_CALL_MS = 1000;

/** Data and operations behind the control API. */
export interface ControlSource {
  /** Answers a peer's JSON-RPC call. */
  handleCall(call: JSONRPCRequest): Promise<JSONRPCResponse | null>;
  /** Returns the state of the gateway. */
  dump(): GatewayDump;
  /** Renders the metrics in the Prometheus text format. */
  renderMetrics(): Promise<string>;
}

/** Creates the HTTP listener of the control API. */
export function createControlApi(source: ControlSource): RequestListener {
  const api = new Hono<{ Bindings: HttpBindings }>();
  // The library would print the error, however many requests are malformed.
  api.onError((error, c) =>
    error instanceof HTTPException ? error.getResponse() : c.text('failed', 500),
  );
  let openCalls = 0;
  api.use('/rpc', async (c, next) => {
    // A peer asks another VM then, and this one again.
    if (openCalls >= MAX_OPEN_CALLS) return c.body(null, 503, { connection: 'close' });
    openCalls += 1;
    const timer = setTimeout(() => c.env.incoming.socket.destroy(), MAX_CALL_MS);
    c.env.outgoing.once('close', () => {
      clearTimeout(timer);
      openCalls -= 1;
    });
    return next();
  });
  api.use('/rpc', bodyLimit({ maxSize: MAX_CALL_BYTES }));
  api.post('/rpc', async (c) => {
    let call: unknown;
    try {
      call = parseBoundedJson(await c.req.text(), MAX_CALL_VALUES);
    } catch {
      return c.body(null, 400, { connection: 'close' });
    }
    return c.json(await source.handleCall(call as JSONRPCRequest));
  });
  api.get('/state', (c) => c.json(source.dump()));
  api.get('/metrics', async (c) => c.text(await source.renderMetrics()));
  return getRequestListener(api.fetch);
}
