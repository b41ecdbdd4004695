import { setTimeout as sleep } from 'node:timers/promises';

import { listen } from '@filbertlatch/router';
import { Hono } from 'hono';

const MS_PER_SECOND = 1000;

/** A stand-in store of model weights, on loopback, whose readers share one rate. */
export interface StandInWeightStore {
  readonly url: string;
  /** Start time of each load, epoch milliseconds. */
  readonly loads: readonly number[];
  stop(): Promise<void>;
}

/** Starts a stand-in weight store that serves loads one after the other at the given rate. */
export async function createWeightStore(bytesPerSecond: number): Promise<StandInWeightStore> {
  const loads: number[] = [];
  let freeAtMs = 0;
  const app = new Hono();
  app.get('/weights/:model', async (c) => {
    const bytes = Number(c.req.query('bytes') ?? 0);
    const now = performance.now();
    loads.push(performance.timeOrigin + now);
    freeAtMs = Math.max(now, freeAtMs) + (bytes * MS_PER_SECOND) / bytesPerSecond;
    await sleep(freeAtMs - now);
    return c.json({ model: c.req.param('model'), bytes });
  });
  const listener = await listen(app, '127.0.0.1', 0);
  return { url: listener.url, loads, stop: () => listener.close() };
}
