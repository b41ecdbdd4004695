import type { RequestListener } from 'node:http';

import { getRequestListener } from '@hono/node-server';
import { Hono } from 'hono';
import type { JSONRPCRequest, JSONRPCResponse } from 'json-rpc-2.0';

import type { GatewayDump } from './dumpGateway.js';

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
  const api = new Hono();
  api.post('/rpc', async (c) => c.json(await source.handleCall(await c.req.json())));
  api.get('/state', (c) => c.json(source.dump()));
  api.get('/metrics', async (c) => c.text(await source.renderMetrics()));
  return getRequestListener(api.fetch);
}
