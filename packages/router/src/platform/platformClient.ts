import { createHash } from 'node:crypto';

import {
  checkShape,
  manifestSchema,
  vmListSchema,
  type Manifest,
  type VmList,
} from '@filbertlatch/core';
import { request, type Agent } from 'undici';
import type { z } from 'zod';

import { createBoundedAgent, readText } from '../bounds/index.js';
import { PlatformError } from '../errors/index.js';
import type { ControlTraffic } from '../metrics/index.js';
import type { Settings } from '../settings/index.js';
import { CallBudget } from './callBudget.js';

const MS_PER_SECOND = 1000;
/** Time beyond the wait of a long poll for its response to arrive. */
const TIMEOUT_MARGIN_MS = 5000;
/** Largest sheet, manifest or list; a posted table may have as much. */
const MAX_TEXT_BYTES = 16_777_216;
const NOT_MODIFIED = 304;

/** A sheet's text and its digest, as digestSheet computes it. */
export interface SheetText {
  readonly text: string;
  readonly digest: string;
}

/** Returns the SHA-256 digest of a sheet's text in hexadecimal. */
export function digestSheet(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/** Reads what the platform publishes: the manifest, the sheets and the list of VMs. */
export class PlatformClient {
  readonly #settings: Settings['platform'];

  readonly #traffic: ControlTraffic;

  readonly #agent: Agent;

  readonly #budget: CallBudget;

  constructor(settings: Settings['platform'], traffic: ControlTraffic, countVms: () => number) {
    this.#budget = new CallBudget(settings.callsPerSecond, countVms);
    this.#settings = settings;
    this.#traffic = traffic;
    const timeoutMs = settings.watchSeconds * MS_PER_SECOND + TIMEOUT_MARGIN_MS;
    this.#agent = createBoundedAgent({
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
      maxResponseSize: MAX_TEXT_BYTES,
    });
  }

  /** Long-polls for a manifest after a revision; null when the wait ends without one. */
  async watchManifest(afterRevision: number, signal: AbortSignal): Promise<Manifest | null> {
    const base = this.#settings.configurationUrl;
    return this.#poll(`${base}/table/manifest`, afterRevision, manifestSchema, signal);
  }

  /** Long-polls for a list of VMs after a revision; null when the wait ends without one. */
  async watchList(afterRevision: number, signal: AbortSignal): Promise<VmList | null> {
    return this.#poll(`${this.#settings.listUrl}/vms`, afterRevision, vmListSchema, signal);
  }

  /** Reads the current manifest without waiting; null when none is published. */
  async readManifest(signal: AbortSignal): Promise<Manifest | null> {
    const base = this.#settings.configurationUrl;
    return this.#poll(`${base}/table/manifest`, -1, manifestSchema, signal, 0);
  }

  /** Reads the current list of VMs without waiting; null when none is published. */
  async readList(signal: AbortSignal): Promise<VmList | null> {
    return this.#poll(`${this.#settings.listUrl}/vms`, -1, vmListSchema, signal, 0);
  }

  /** Reads one sheet. Throws PlatformError. */
  async readSheet(name: string): Promise<SheetText> {
    const text = await this.#getText(`${this.#settings.configurationUrl}/table/sheets/${name}`);
    if (text === null) throw new PlatformError(`sheet ${name}: unexpected "not modified"`);
    return { text, digest: digestSheet(text) };
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #poll<S extends z.ZodType>(
    url: string,
    afterRevision: number,
    schema: S,
    signal: AbortSignal,
    waitMs = Math.round(this.#settings.watchSeconds * MS_PER_SECOND),
  ): Promise<z.infer<S> | null> {
    const text = await this.#getText(`${url}?after=${afterRevision}&wait=${waitMs}`, signal);
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

  async #getText(url: string, signal?: AbortSignal): Promise<string | null> {
    try {
      await this.#budget.take(signal);
      const response = await request(url, { dispatcher: this.#agent, signal });
      const text = await readText(response.body, MAX_TEXT_BYTES);
      this.#traffic.add('platform', 'received', Buffer.byteLength(text));
      if (response.statusCode === NOT_MODIFIED) return null;
      if (response.statusCode !== 200) throw new PlatformError(`status ${response.statusCode}`);
      return text;
    } catch (cause) {
      if (cause instanceof PlatformError) throw cause;
      throw new PlatformError(`${url}: request failed`, { cause });
    }
  }
}
