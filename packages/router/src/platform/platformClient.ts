import { createHash } from 'node:crypto';

import {
  checkShape,
  manifestSchema,
  vmListSchema,
  type Manifest,
  type VmList,
} from '@filbertlatch/core';
import { Agent, request } from 'undici';
import type { z } from 'zod';

import { PlatformError } from '../errors/index.js';
import type { ControlTraffic } from '../metrics/index.js';
import type { Settings } from '../settings/index.js';
import { CallBudget } from './callBudget.js';

const MS_PER_SECOND = 1000;
const SPARE_MS = 5000;
const NOT_MODIFIED = 304;

/** A sheet's text, with the digest computed from it. */
export interface SheetText {
  readonly text: string;
  readonly digest: string;
}

/** Returns the digest of a sheet's text. */
export function digestSheet(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/** Reads what the platform publishes; it never writes. */
export class PlatformClient {
  readonly #settings: Settings['platform'];

  readonly #traffic: ControlTraffic;

  readonly #agent: Agent;

  readonly #budget: CallBudget;

  constructor(settings: Settings['platform'], traffic: ControlTraffic, countVms: () => number) {
    this.#budget = new CallBudget(settings.callsPerSecond, countVms);
    this.#settings = settings;
    this.#traffic = traffic;
    const patienceMs = settings.watchSeconds * MS_PER_SECOND + SPARE_MS;
    this.#agent = new Agent({ headersTimeout: patienceMs, bodyTimeout: patienceMs });
  }

  /** Waits for a manifest later than a revision; null when none came in the time. */
  async watchManifest(after: number, signal: AbortSignal): Promise<Manifest | null> {
    const base = this.#settings.configurationUrl;
    return this.#watch(`${base}/table/manifest`, after, manifestSchema, signal);
  }

  /** Waits for a list of VMs later than a revision; null when none came in the time. */
  async watchList(after: number, signal: AbortSignal): Promise<VmList | null> {
    return this.#watch(`${this.#settings.listUrl}/vms`, after, vmListSchema, signal);
  }

  /** Reads the manifest as it is now; null when none was published. */
  async readManifest(signal: AbortSignal): Promise<Manifest | null> {
    const base = this.#settings.configurationUrl;
    return this.#watch(`${base}/table/manifest`, -1, manifestSchema, signal, 0);
  }

  /** Reads the list of VMs as it is now; null when none was published. */
  async readList(signal: AbortSignal): Promise<VmList | null> {
    return this.#watch(`${this.#settings.listUrl}/vms`, -1, vmListSchema, signal, 0);
  }

  /** Reads one sheet. Throws PlatformError. */
  async readSheet(name: string): Promise<SheetText> {
    const text = await this.#get(`${this.#settings.configurationUrl}/table/sheets/${name}`);
    if (text === null) throw new PlatformError(`sheet ${name} is not there`);
    return { text, digest: digestSheet(text) };
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #watch<S extends z.ZodType>(
    url: string,
    after: number,
    schema: S,
    signal: AbortSignal,
    waitMs = Math.round(this.#settings.watchSeconds * MS_PER_SECOND),
  ): Promise<z.infer<S> | null> {
    const text = await this.#get(`${url}?after=${after}&wait=${waitMs}`, signal);
    if (text === null) return null;
    let value: unknown;
    try {
      value = JSON.parse(text);
    } catch (cause) {
      throw new PlatformError(`${url} is not JSON`, { cause });
    }
    const checked = checkShape(schema, value);
    if (checked.ok) return checked.value;
    const fault = checked.faults[0]!;
    throw new PlatformError(`${url}: ${fault.path}: expected ${fault.expected}`);
  }

  async #get(url: string, signal?: AbortSignal): Promise<string | null> {
    try {
      await this.#budget.take(signal);
      const response = await request(url, { dispatcher: this.#agent, signal });
      const text = await response.body.text();
      this.#traffic.add('platform', 'received', Buffer.byteLength(text));
      if (response.statusCode === NOT_MODIFIED) return null;
      if (response.statusCode !== 200) throw new PlatformError(`status ${response.statusCode}`);
      return text;
    } catch (cause) {
      if (cause instanceof PlatformError) throw cause;
      throw new PlatformError(`${url} did not answer`, { cause });
    }
  }
}
