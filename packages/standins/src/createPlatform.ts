import { setTimeout as sleep } from 'node:timers/promises';

import type { Manifest, Table, VmList } from '@filbertlatch/core';
import { digestSheet, listen } from '@filbertlatch/router';
import { Hono, type Context } from 'hono';

const ACCOUNTS_PER_SHARD = 500;

/** Failures that a test or an experiment can switch on while the platform runs; all off at start. */
export interface PlatformSwitches {
  /** Whether it answers 503 to every request. */
  isDown: boolean;
  /** Table revision after which it hides all newer ones; null: none hidden. */
  staleAt: number | null;
}

/** A stand-in for the service that publishes the configuration table and the list of VMs, on loopback. */
export interface StandInPlatform {
  readonly url: string;
  readonly switches: PlatformSwitches;
  /** Number of requests received; a long poll counts once. */
  readonly calls: { count: number };
  publishTable(table: Table): Manifest;
  publishList(list: VmList): void;
  stop(): Promise<void>;
}

/** One revision of the table as readers get it. */
interface PublishedTable {
  readonly manifest: Manifest;
  /** Sheets as JSON by name. */
  readonly texts: ReadonlyMap<string, string>;
}

function splitAccounts(table: Table): [string, unknown][] {
  const count = Math.max(1, Math.ceil(table.accounts.length / ACCOUNTS_PER_SHARD));
  return Array.from({ length: count }, (_, shard): [string, unknown] => [
    `accounts/${shard}`,
    table.accounts.slice(shard * ACCOUNTS_PER_SHARD, (shard + 1) * ACCOUNTS_PER_SHARD),
  ]);
}

/**
 * Splits a table into its published sheets and their manifest. A sheet whose digest equals that in
 * the previous manifest keeps its revision.
 */
export function splitTable(table: Table, previous: Manifest | null): PublishedTable {
  const { classes, models, endpoints, limits } = table;
  const sheets: [string, unknown][] = [
    ...Object.entries({ classes, models, endpoints, limits }),
    ...splitAccounts(table),
  ];
  const texts = new Map(sheets.map(([name, rows]) => [name, JSON.stringify(rows)]));
  const manifestSheets: Manifest['sheets'] = {};
  texts.forEach((text, name) => {
    const digest = digestSheet(text);
    const before = previous?.sheets[name];
    const revision = before?.digest === digest ? before.revision : table.revision;
    manifestSheets[name] = { revision, digest };
  });
  return { manifest: { revision: table.revision, sheets: manifestSheets }, texts };
}

/** A published value whose readers can wait for the next revision. */
class WatchedValue<T extends { readonly revision: number }> {
  readonly #waiting = new Set<() => void>();

  value: T | null = null;

  publish(value: T): void {
    this.value = value;
    this.#waiting.forEach((wake) => wake());
  }

  /** Resolves with a value above the revision, or null after `waitMs`, an abort or `release`. */
  async waitForNewer(revision: number, waitMs: number, signal: AbortSignal): Promise<T | null> {
    if (this.value !== null && this.value.revision > revision) return this.value;
    const stop = new AbortController();
    const wake = () => stop.abort();
    this.#waiting.add(wake);
    signal.addEventListener('abort', wake);
    await sleep(waitMs, undefined, { signal: stop.signal }).catch(() => {});
    this.#waiting.delete(wake);
    return this.value !== null && this.value.revision > revision ? this.value : null;
  }

  /** Ends the wait of all readers. */
  release(): void {
    this.#waiting.forEach((wake) => wake());
  }
}

/** Starts a stand-in for the platform; over HTTP its values can be read and watched but not written. */
export async function createPlatform(): Promise<StandInPlatform> {
  const switches: PlatformSwitches = { isDown: false, staleAt: null };
  const calls = { count: 0 };
  const manifests = new WatchedValue<Manifest>();
  const lists = new WatchedValue<VmList>();
  const history: PublishedTable[] = [];
  const app = new Hono();

  const answerWatch = async <T extends { readonly revision: number }>(
    c: Context,
    watched: WatchedValue<T>,
  ) => {
    const after = Number(c.req.query('after') ?? -1);
    const waitMs = Number(c.req.query('wait') ?? 0);
    const value = await watched.waitForNewer(after, waitMs, c.req.raw.signal);
    return value === null ? c.body(null, 304) : c.json(value);
  };
  const findCurrentTable = () => {
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
    const stale = findCurrentTable();
    return stale === undefined ? c.body(null, 304) : c.json(stale.manifest);
  });
  app.get('/table/sheets/:name{.+}', (c) => {
    const text = findCurrentTable()?.texts.get(c.req.param('name'));
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
