import { setTimeout as sleep } from 'node:timers/promises';

import type { Manifest, Table, VmList } from '@filbertlatch/core';
import { digestSheet, listen } from '@filbertlatch/router';
import { Hono, type Context } from 'hono';

const ACCOUNTS_PER_SHARD = 500;

/** Failures that a test or an experiment turns on; all off at start. */
export interface PlatformSwitches {
  /** Answers 503 to every read. */
  isDown: boolean;
  /** Answers as it was at this table revision; null is up to date. */
  staleAt: number | null;
}

/** A stand-in for the configuration service and the list of VMs, on loopback. */
export interface StandInPlatform {
  readonly url: string;
  readonly switches: PlatformSwitches;
  /** Reads answered so far; a waiting watch counts as one. */
  readonly calls: { count: number };
  publishTable(table: Table): Manifest;
  publishList(list: VmList): void;
  stop(): Promise<void>;
}

interface Published {
  readonly manifest: Manifest;
  readonly texts: ReadonlyMap<string, string>;
}

function splitAccounts(table: Table): [string, unknown][] {
  const count = Math.max(1, Math.ceil(table.accounts.length / ACCOUNTS_PER_SHARD));
  return Array.from({ length: count }, (_, shard): [string, unknown] => [
    `accounts/${shard}`,
    table.accounts.slice(shard * ACCOUNTS_PER_SHARD, (shard + 1) * ACCOUNTS_PER_SHARD),
  ]);
}

/** Splits a table into the sheets and the manifest that are published. */
export function splitTable(table: Table, previous: Manifest | null): Published {
  const { classes, models, endpoints, limits } = table;
  const sheets: [string, unknown][] = [
    ...Object.entries({ classes, models, endpoints, limits }),
    ...splitAccounts(table),
  ];
  const texts = new Map(sheets.map(([name, rows]) => [name, JSON.stringify(rows)]));
  const positions: Manifest['sheets'] = {};
  texts.forEach((text, name) => {
    const digest = digestSheet(text);
    const before = previous?.sheets[name];
    const revision = before?.digest === digest ? before.revision : table.revision;
    positions[name] = { revision, digest };
  });
  return { manifest: { revision: table.revision, sheets: positions }, texts };
}

/** Lets readers wait for the next revision of a value. */
class Watched<T extends { readonly revision: number }> {
  readonly #waiting = new Set<() => void>();

  value: T | null = null;

  publish(value: T): void {
    this.value = value;
    this.#waiting.forEach((wake) => wake());
  }

  async after(revision: number, waitMs: number, signal: AbortSignal): Promise<T | null> {
    if (this.value !== null && this.value.revision > revision) return this.value;
    const stop = new AbortController();
    const wake = () => stop.abort();
    this.#waiting.add(wake);
    signal.addEventListener('abort', wake);
    await sleep(waitMs, undefined, { signal: stop.signal }).catch(() => {});
    this.#waiting.delete(wake);
    return this.value !== null && this.value.revision > revision ? this.value : null;
  }

  release(): void {
    this.#waiting.forEach((wake) => wake());
  }
}

/** Starts a stand-in for the platform: values can be read and watched, never written. */
export async function createPlatform(): Promise<StandInPlatform> {
  const switches: PlatformSwitches = { isDown: false, staleAt: null };
  const calls = { count: 0 };
  const manifests = new Watched<Manifest>();
  const lists = new Watched<VmList>();
  const history: Published[] = [];
  const app = new Hono();

  const answerWatch = async <T extends { readonly revision: number }>(
    c: Context,
    watched: Watched<T>,
  ) => {
    const after = Number(c.req.query('after') ?? -1);
    const waitMs = Number(c.req.query('wait') ?? 0);
    const value = await watched.after(after, waitMs, c.req.raw.signal);
    return value === null ? c.body(null, 304) : c.json(value);
  };
  const current = () => {
    const { staleAt } = switches;
    const visible = history.filter((p) => staleAt === null || p.manifest.revision <= staleAt);
    return visible.at(-1);
  };

  app.use(async (c, next) => {
    calls.count += 1;
    if (switches.isDown) return c.json({ error: 'down' }, 503);
    return next();
  });
  app.get('/table/manifest', (c) => {
    if (switches.staleAt === null) return answerWatch(c, manifests);
    const stale = current();
    return stale === undefined ? c.body(null, 304) : c.json(stale.manifest);
  });
  app.get('/table/sheets/:name{.+}', (c) => {
    const text = current()?.texts.get(c.req.param('name'));
    return text === undefined ? c.json({ error: 'no such sheet' }, 404) : c.text(text);
  });
  app.get('/vms', (c) => answerWatch(c, lists));

  const listener = await listen(app, '127.0.0.1', 0);
  return {
    url: listener.url,
    switches,
    calls,
    publishTable: (table) => {
      const published = splitTable(table, history.at(-1)?.manifest ?? null);
      history.push(published);
      manifests.publish(published.manifest);
      return published.manifest;
    },
    publishList: (list) => lists.publish(list),
    stop: async () => {
      manifests.release();
      lists.release();
      await listener.close();
    },
  };
}
