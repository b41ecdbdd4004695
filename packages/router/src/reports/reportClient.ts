import type { CacheEvent, Endpoint, LoadReport } from '@filbertlatch/core';
import { request } from 'undici';

import { createBoundedAgent, createBoundedClient, discardBody, readJson } from '../bounds/index.js';
import { loadReportSchema } from '../endpoints/engineProtocol.js';
import { cacheEventsSchema } from './cacheEvents.js';

const READ_TIMEOUT_MS = 1000;
const PROBE_TIMEOUT_MS = 1000;
const NOT_FOUND = 404;

/** Larger responses are not read, so that an engine can't exhaust this VM's memory. */
const MAX_REPORT_BYTES = 1_048_576;
const MAX_REPORT_VALUES = 262_144;

/** Time for a whole response, which may come slowly. */
const RESPONSE_TIMEOUT_MS = 5000;

/** Reads the load reports and cache events of engines and probes endpoints. */
export class ReportClient {
  readonly #agent = createBoundedAgent({
    connections: 1,
    connect: { timeout: READ_TIMEOUT_MS },
    headersTimeout: READ_TIMEOUT_MS,
    bodyTimeout: READ_TIMEOUT_MS,
    maxResponseSize: MAX_REPORT_BYTES,
  });

  /** URLs of the engines that publish no cache events. */
  readonly #urlsWithoutCacheEvents = new Set<string>();

  /** Reads an engine's load report; null when it is unreadable or invalid. */
  async readLoad({ id, url }: Endpoint): Promise<LoadReport | null> {
    const { body } = await this.#getJson(new URL('/load', url));
    const parsed = loadReportSchema.safeParse(body);
    return parsed.success ? { endpointId: id, ...parsed.data } : null;
  }

  /** Reads an engine's cache events after a sequence number; empty when unreadable or invalid. */
  async readCacheEvents({ id, url }: Endpoint, after: number): Promise<CacheEvent[]> {
    if (this.#urlsWithoutCacheEvents.has(url)) return [];
    const { status, body } = await this.#getJson(new URL(`/cache/events?after=${after}`, url));
    if (status === NOT_FOUND) this.#urlsWithoutCacheEvents.add(url);
    const parsed = cacheEventsSchema.safeParse(body);
    if (!parsed.success) return [];
    return parsed.data.events.map((event) => ({ endpointId: id, ...event }));
  }

  /** Returns whether an endpoint answers, without a server error, over a new connection. */
  // eslint-disable-next-line class-methods-use-this -- a probe must not share a connection
  async probe({ kind, url }: Endpoint): Promise<boolean> {
    const client = createBoundedClient(new URL(url).origin, {
      connect: { timeout: PROBE_TIMEOUT_MS },
      headersTimeout: PROBE_TIMEOUT_MS,
      bodyTimeout: PROBE_TIMEOUT_MS,
      maxResponseSize: MAX_REPORT_BYTES,
    });
    const call = {
      method: kind === 'engine' ? 'GET' : 'HEAD',
      path: kind === 'engine' ? '/load' : '/',
    } as const;
    try {
      const response = await client.request(call);
      await discardBody(response.body);
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

  async #getJson(url: URL): Promise<{ status: number; body: unknown }> {
    try {
      const signal = AbortSignal.timeout(RESPONSE_TIMEOUT_MS);
      const response = await request(url, { dispatcher: this.#agent, signal });
      if (response.statusCode === 200) {
        return {
          status: response.statusCode,
          body: await readJson(response.body, MAX_REPORT_BYTES, MAX_REPORT_VALUES),
        };
      }
      await discardBody(response.body);
      return { status: response.statusCode, body: null };
    } catch {
      return { status: 0, body: null };
    }
  }
}
