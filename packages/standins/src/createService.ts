import { setTimeout as sleep } from 'node:timers/promises';

import { listen, REQUEST_ID_HEADER } from '@filbertlatch/router';
import type { HttpBindings } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { Hono } from 'hono';

import { Slots } from './slots.js';

/** Name, speed and capacity of a stand-in plain service. */
export interface ServiceOptions {
  readonly id: string;
  readonly name: string;
  /** Time of one answer, in milliseconds. */
  readonly answerMs: number;
  /** Most calls that run at the same time; others wait in order. Unlimited by default. */
  readonly slots?: number;
}

/** Failures that a test or an experiment can switch on while the service runs; all off at start. */
export interface ServiceSwitches {
  /** Whether it answers 503 without running the call. */
  refuses: boolean;
  /** Whether its answers carry a wrong request id. */
  misechoes: boolean;
  /** Whether it answers 500 after running the call. */
  fails: boolean;
}

/** A call that a stand-in service ran. */
export interface ServiceRun {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  /** Idempotency key of the call. */
  readonly key: string | null;
  /** Start time: monotonic clock, in milliseconds. */
  readonly at: number;
}

/** A stand-in plain service that listens on loopback. */
export interface StandInService {
  readonly id: string;
  readonly name: string;
  readonly url: string;
  readonly switches: ServiceSwitches;
  /** Calls that it ran, in order of their start. */
  readonly runs: readonly ServiceRun[];
  stop(): Promise<void>;
}

/** Starts a stand-in service that answers each call with its method, path and body. */
export async function createService(options: ServiceOptions): Promise<StandInService> {
  const switches: ServiceSwitches = { refuses: false, misechoes: false, fails: false };
  const runs: ServiceRun[] = [];
  const slots = new Slots(options.slots ?? Infinity);
  const app = new Hono<{ readonly Bindings: HttpBindings }>();
  app.all('/*', async (c) => {
    if (switches.refuses) return c.json({ error: 'refused' }, 503);
    const id = c.req.header(REQUEST_ID_HEADER) ?? 'none';
    const { method, path } = c.req;
    await slots.acquire();
    if (c.env.outgoing.destroyed) {
      slots.release();
      return RESPONSE_ALREADY_SENT;
    }
    runs.push({
      id,
      method,
      path,
      key: c.req.header('idempotency-key') ?? null,
      at: performance.now(),
    });
    await sleep(options.answerMs);
    slots.release();
    if (switches.fails) return c.json({ error: 'failed' }, 500);
    c.header(REQUEST_ID_HEADER, switches.misechoes ? `other-${id}` : id);
    return c.json({ service: options.name, method, path, received: await c.req.text() });
  });
  const listener = await listen(app, '127.0.0.1', 0);
  const { id, name } = options;
  return { id, name, url: listener.url, switches, runs, stop: () => listener.close() };
}
