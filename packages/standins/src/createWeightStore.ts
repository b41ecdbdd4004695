import { setTimeout as sleep } from 'node:timers/promises';

import { listen } from '@filbertlatch/router';
import { Hono } from 'hono';

const MS_PER_SECOND = 1000;

/** A stand-in weight store, on loopback: reads share one rate. */
export interface StandInWeightStore {
  readonly url: string;
  /** Instants at which loads began, epoch milliseconds. */
  readonly loads: readonly number[];
  stop(): Promise<void>;
}

/** Starts a stand-in weight store that serves so many bytes a second to all readers. */
export async function createWeightStore(bytesPerSecond: number): Promise<StandInWeightStore> {
  const loads: number[] = [];
  let freeAt = 0;
  const app = new Hono();
  app.get('/weights/:model', async (c) => {
    const bytes = Number(c.req.query('bytes') ?? 0);
    const now = performance.now();
    loads.push(performance.timeOrigin + now);
    freeAt = Math.max(now, freeAt) + (bytes * MS_PER_SECOND) / bytesPerSecond;
    await sleep(freeAt - now);
    return c.json({ model: c.req.param('model'), bytes });
  });
  const listener = await listen(app, '127.0.0.1', 0);
  return { url: listener.url, loads, stop: () => listener.close() };
}
