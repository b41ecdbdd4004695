import { randomUUID } from 'node:crypto';
import type { ServerResponse } from 'node:http';
import { pipeline } from 'node:stream/promises';

import type { Endpoint, Table } from '@filbertlatch/core';
import { listen, REQUEST_ID_HEADER } from '@filbertlatch/router';
import type { HttpBindings } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { Hono, type Context } from 'hono';
import { Agent } from 'undici';

import { createChoice, type BaselineName, type Lane } from './chooseLane.js';

interface Call {
  readonly method: string;
  readonly path: string;
  readonly body: string | null;
  readonly response: ServerResponse;
}

interface EndpointLane extends Lane {
  readonly url: string;
  readonly waiting: Call[];
}

/** A running baseline router. */
export interface Baseline {
  readonly callerUrl: string;
  stop(): Promise<void>;
}

interface Env {
  readonly Bindings: HttpBindings;
}

function poolsOf(endpoint: Endpoint): string[] {
  if (endpoint.kind === 'service') return [`service:${endpoint.service}`];
  return endpoint.models.map((model) => `model:${model}`);
}

function createLanes(table: Table): Map<string, EndpointLane[]> {
  const pools = new Map<string, EndpointLane[]>();
  for (const endpoint of table.endpoints) {
    const lane = { url: endpoint.url, slots: endpoint.slots, inFlight: 0, waiting: [] };
    for (const pool of poolsOf(endpoint)) pools.set(pool, [...(pools.get(pool) ?? []), lane]);
  }
  return pools;
}

/** Sends calls to endpoints: a FIFO queue each, as many at once as the endpoint has slots. */
class Forwarder {
  readonly #agent = new Agent({ connections: null, headersTimeout: 0, bodyTimeout: 0 });

  submit(lane: EndpointLane, call: Call): void {
    lane.waiting.push(call);
    call.response.once('close', () => {
      const index = lane.waiting.indexOf(call);
      if (index >= 0) lane.waiting.splice(index, 1);
    });
    this.#fill(lane);
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  #fill(lane: EndpointLane): void {
    while (lane.inFlight < lane.slots && lane.waiting.length > 0) {
      const call = lane.waiting.shift()!;
      lane.inFlight += 1;
      void this.#forward(lane, call).finally(() => {
        lane.inFlight -= 1;
        this.#fill(lane);
      });
    }
  }

  async #forward(lane: EndpointLane, { method, path, body, response }: Call): Promise<void> {
    const stop = new AbortController();
    response.once('close', () => stop.abort());
    try {
      const answer = await this.#agent.request({
        origin: lane.url,
        method,
        path,
        body,
        // Endpoints tell requests apart by it.
        headers: { 'content-type': 'application/json', [REQUEST_ID_HEADER]: randomUUID() },
        signal: stop.signal,
      });
      response.writeHead(answer.statusCode, {
        'content-type': String(answer.headers['content-type'] ?? 'application/json'),
      });
      await pipeline(answer.body, response);
    } catch {
      if (!response.headersSent) response.writeHead(502);
      response.destroy();
    }
  }
}

/** Starts a router without classes: it chooses an endpoint at once and queues there. */
export async function createBaseline(name: BaselineName, table: Table): Promise<Baseline> {
  const lanes = createLanes(table);
  const choice = createChoice(name);
  const forwarder = new Forwarder();
  const app = new Hono<Env>();

  const submit = (c: Context<Env>, pool: string, path: string, body: string | null) => {
    const candidates = lanes.get(pool);
    if (candidates === undefined) return c.json({ error: { message: 'no such pool' } }, 404);
    const { outgoing: response } = c.env;
    forwarder.submit(choice.choose(candidates), { method: c.req.method, path, body, response });
    return RESPONSE_ALREADY_SENT;
  };
  app.post('/v1/*', async (c) => {
    const body = await c.req.text();
    const { model } = JSON.parse(body) as { model: string };
    return submit(c, `model:${model}`, c.req.path, body);
  });
  app.all('/services/:name/*', async (c) => {
    const service = c.req.param('name');
    const path = c.req.path.slice(`/services/${service}`.length);
    const body = c.req.method === 'GET' ? null : await c.req.text();
    return submit(c, `service:${service}`, path, body);
  });
  const listener = await listen(app, '127.0.0.1', 0);
  return {
    callerUrl: listener.url,
    stop: async () => {
      await Promise.all([forwarder.close(), listener.close()]);
    },
  };
}
