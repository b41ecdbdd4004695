import { randomUUID } from 'node:crypto';
import type { ServerResponse } from 'node:http';
import { pipeline } from 'node:stream/promises';

import type { Endpoint, Table } from '@filbertlatch/core';
import { listen, REQUEST_ID_HEADER } from '@filbertlatch/router';
import type { HttpBindings } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { Hono, type Context } from 'hono';
import { Agent } from 'undici';

import { createEndpointChooser, type BaselineName, type EndpointQueue } from './endpointChooser.js';

interface QueuedCall {
  readonly method: string;
  readonly path: string;
  readonly body: string | null;
  readonly response: ServerResponse;
}

interface ForwardingQueue extends EndpointQueue {
  readonly url: string;
  readonly waiting: QueuedCall[];
}

/** A running baseline router that listens on loopback. */
export interface Baseline {
  readonly callerUrl: string;
  stop(): Promise<void>;
}

interface HonoEnvironment {
  readonly Bindings: HttpBindings;
}

function listPools(endpoint: Endpoint): string[] {
  if (endpoint.kind === 'service') return [`service:${endpoint.service}`];
  return endpoint.models.map((model) => `model:${model}`);
}

function createQueuesByPool(table: Table): Map<string, ForwardingQueue[]> {
  const pools = new Map<string, ForwardingQueue[]>();
  for (const endpoint of table.endpoints) {
    const queue = { url: endpoint.url, slots: endpoint.slots, inFlight: 0, waiting: [] };
    for (const pool of listPools(endpoint)) pools.set(pool, [...(pools.get(pool) ?? []), queue]);
  }
  return pools;
}

/** Forwards calls from a FIFO queue for each endpoint, as many at once as the endpoint has slots. */
class Forwarder {
  readonly #agent = new Agent({ connections: null, headersTimeout: 0, bodyTimeout: 0 });

  submit(queue: ForwardingQueue, call: QueuedCall): void {
    queue.waiting.push(call);
    call.response.once('close', () => {
      const index = queue.waiting.indexOf(call);
      if (index >= 0) queue.waiting.splice(index, 1);
    });
    this.#fill(queue);
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  #fill(queue: ForwardingQueue): void {
    while (queue.inFlight < queue.slots && queue.waiting.length > 0) {
      const call = queue.waiting.shift()!;
      queue.inFlight += 1;
      void this.#forward(queue, call).finally(() => {
        queue.inFlight -= 1;
        this.#fill(queue);
      });
    }
  }

  async #forward(
    queue: ForwardingQueue,
    { method, path, body, response }: QueuedCall,
  ): Promise<void> {
    const stop = new AbortController();
    response.once('close', () => stop.abort());
    try {
      const answer = await this.#agent.request({
        origin: queue.url,
        method,
        path,
        body,
        // Endpoints identify requests by this header.
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

/** Starts a router that ignores classes: it chooses an endpoint on arrival and queues there. */
export async function createBaseline(name: BaselineName, table: Table): Promise<Baseline> {
  const queues = createQueuesByPool(table);
  const chooser = createEndpointChooser(name);
  const forwarder = new Forwarder();
  const app = new Hono<HonoEnvironment>();

  const submit = (c: Context<HonoEnvironment>, pool: string, path: string, body: string | null) => {
    const candidates = queues.get(pool);
    if (candidates === undefined) return c.json({ error: { message: 'no such pool' } }, 404);
    const { outgoing: response } = c.env;
    forwarder.submit(chooser.choose(candidates), { method: c.req.method, path, body, response });
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
