import type { CacheEvent, Endpoint, LoadReport } from '@filbertlatch/core';
import { Agent, Client, request } from 'undici';

import { loadReportSchema } from '../endpoints/engineProtocol.js';
import { cacheEventsSchema } from './cacheEvents.js';

const READ_TIMEOUT_MS = 1000;
const PROBE_TIMEOUT_MS = 1000;
const NOT_FOUND = 404;

/** A larger report is not read: an engine must not fill this VM's memory. */
const MOST_REPORT_BYTES = 1_048_576;

/** Reads what engines publish about themselves; what cannot be read is left out. */
export class ReportClient {
  readonly #agent = new Agent({
    connections: 1,
    connect: { timeout: READ_TIMEOUT_MS },
    headersTimeout: READ_TIMEOUT_MS,
    bodyTimeout: READ_TIMEOUT_MS,
    maxResponseSize: MOST_REPORT_BYTES,
  });

  /** Engines that publish no cache events, by address. */
  readonly #withoutCache = new Set<string>();

  /** Reads an engine's load; null when it cannot be read or makes no sense. */
  async readLoad({ id, url }: Endpoint): Promise<LoadReport | null> {
    const { body } = await this.#read(new URL('/load', url));
    const parsed = loadReportSchema.safeParse(body);
    return parsed.success ? { endpointId: id, ...parsed.data } : null;
  }

  /** Reads an engine's cache events after a sequence; none when it publishes none. */
  async readCache({ id, url }: Endpoint, after: number): Promise<CacheEvent[]> {
    if (this.#withoutCache.has(url)) return [];
    const { status, body } = await this.#read(new URL(`/cache/events?after=${after}`, url));
    if (status === NOT_FOUND) this.#withoutCache.add(url);
    const parsed = cacheEventsSchema.safeParse(body);
    if (!parsed.success) return [];
    return parsed.data.events.map((event) => ({ endpointId: id, ...event }));
  }

  /** Says whether an endpoint answers over a new connection. */
  // eslint-disable-next-line class-methods-use-this -- a probe must not share a connection
  async probe({ kind, url }: Endpoint): Promise<boolean> {
    const client = new Client(new URL(url).origin, {
      connect: { timeout: PROBE_TIMEOUT_MS },
      headersTimeout: PROBE_TIMEOUT_MS,
      bodyTimeout: PROBE_TIMEOUT_MS,
      maxResponseSize: MOST_REPORT_BYTES,
    });
    const call = {
      method: kind === 'engine' ? 'GET' : 'HEAD',
      path: kind === 'engine' ? '/load' : '/',
    } as const;
    try {
      const response = await client.request(call);
      await response.body.dump();
      return response.statusCode < 500;
    } catch {
      return false;
    } finally {
      await client.destroy();
    }
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #read(url: URL): Promise<{ status: number; body: unknown }> {
    try {
      const response = await request(url, { dispatcher: this.#agent });
      if (response.statusCode === 200) {
        return { status: response.statusCode, body: await response.body.json() };
      }
      await response.body.dump();
      return { status: response.statusCode, body: null };
    } catch {
      return { status: 0, body: null };
    }
  }
}
