import {
  advanceRevision,
  applyEntryChange,
  comparePositions,
  isDeparting,
  isTakingRequests,
  LAPSE_GRACE_MS,
  removeLapsed,
  replaceEntries,
  resetEndpointHealth,
  resetEndpointWork,
  resetRequestLimit,
  type RegisteredEndpoint,
  type StorePosition,
} from '@filbertlatch/core';
import * as z from 'zod';

import { now } from '../clock.js';
import { checkEndpoint } from './checkEndpoint.js';
import type { CrashRecorder } from './crashRecorder.js';
import type { GatewayLog } from './gatewayLog.js';
import type { GatewayState } from './gatewayState.js';
import type { LoopDelay } from './loopDelay.js';
import type { PublicationSource, PublishedEntry } from './publication.js';

const identifiedSchema = z.object({ id: z.string() });

/** An endpoint in a complete list; null when its entry cannot be read. */
interface EndpointListing {
  readonly id: string;
  readonly endpoint: RegisteredEndpoint | null;
}

/** Registers the endpoints that the store or peers list, and forgets those that they don't. */
export class EndpointAdoption {
  readonly #state: GatewayState;

  readonly #source: PublicationSource;

  readonly #crashes: CrashRecorder;

  readonly #loopDelay: LoopDelay;

  readonly #log: GatewayLog;

  #notifyFirstRead: ((revision: number) => void) | null = null;

  constructor(
    state: GatewayState,
    source: PublicationSource,
    crashes: CrashRecorder,
    loopDelay: LoopDelay,
    log: GatewayLog,
  ) {
    this.#state = state;
    this.#source = source;
    this.#crashes = crashes;
    this.#loopDelay = loopDelay;
    this.#log = log;
  }

  /** Sets the callback for the first endpoints, from the store or a peer. */
  onFirstRead(notify: (revision: number) => void): void {
    this.#notifyFirstRead = notify;
  }

  /** Adopts all entries of the store. */
  adoptAll(entries: readonly PublishedEntry[], position: StorePosition): void {
    const listings = entries.map((entry) => ({ id: entry.id, endpoint: this.#decode(entry) }));
    this.#replace(listings, position, 'store');
    this.#log.change('endpoints_read', { endpoints: listings.length, ...position });
  }

  /** Adopts the changes of the store's entries up to a position. */
  adoptChanges(entries: readonly PublishedEntry[], position: StorePosition): void {
    const { directory } = this.#state;
    for (const entry of entries) {
      const before = directory.endpoints.get(entry.id)?.state ?? 'unknown';
      const wasTakingRequests = isTakingRequests(directory, entry.id);
      const isRemoved = entry.text === null;
      const change = { id: entry.id, endpoint: this.#decode(entry), isRemoved };
      const hadLapsed = directory.lapsed.has(entry.id);
      if (applyEntryChange(directory, change, now())) this.#resetRestarted([entry.id]);
      if (!hadLapsed) this.#reportLapse(entry.id, position);
      const after = directory.endpoints.get(entry.id)?.state ?? 'gone';
      if (before !== after) {
        const { revision } = position;
        this.#log.change('endpoint_changed', { endpointId: entry.id, before, after, revision });
      }
      // An endpoint that leaves as planned is draining first, or says so.
      if (wasTakingRequests && after === 'gone') {
        this.#crashes.recordEndpointEnd(entry.id, 'removed');
      }
    }
    advanceRevision(directory, position);
  }

  /** Adopts a peer's endpoints if they are newer; false otherwise. */
  adoptOfPeer(endpoints: readonly unknown[], position: StorePosition, source: string): boolean {
    if (comparePositions(position, this.#state.directory) <= 0) return false;
    const listings = endpoints.map((endpoint) => ({
      id: identifiedSchema.safeParse(endpoint).data?.id ?? '',
      endpoint: checkEndpoint(endpoint),
    }));
    this.#replace(listings, position, 'peer');
    this.#log.change('endpoints_read', { endpoints: listings.length, ...position, source });
    return true;
  }

  /** Removes the endpoints whose entries did not reappear after an outage of the store. */
  removeMissing(): void {
    // After a standstill entries that were written again may be unread.
    const listenedUntil = this.#loopDelay.listenedSince(LAPSE_GRACE_MS) + LAPSE_GRACE_MS;
    removeLapsed(this.#state.directory, listenedUntil).forEach((endpointId) => {
      this.#crashes.recordEndpointEnd(endpointId, 'removed');
      this.#log.change('endpoint_gone', { endpointId, reason: 'not_back_after_outage' });
    });
  }

  #replace(
    listings: readonly EndpointListing[],
    position: StorePosition,
    source: 'store' | 'peer',
  ): void {
    const { directory } = this.#state;
    const endpoints = listings.flatMap(({ endpoint }) => endpoint ?? []);
    const unreadableIds = listings.filter(({ endpoint }) => endpoint === null).map(({ id }) => id);
    const isFirst = directory.revision < 0;
    const known = new Set(directory.endpoints.keys());
    const before = [...known].filter((id) => isTakingRequests(directory, id));
    const lapsedBefore = new Set(directory.lapsed.keys());
    this.#resetRestarted(
      replaceEntries(directory, endpoints, position, now(), source, unreadableIds),
    );
    known.forEach((id) => {
      if (!lapsedBefore.has(id)) this.#reportLapse(id, position);
    });
    before.forEach((id) => {
      if (!directory.endpoints.has(id)) this.#crashes.recordEndpointEnd(id, 'removed');
    });
    if (!isFirst) this.#logRegistered(known);
    if (isFirst) this.#notifyFirstRead?.(position.revision);
  }

  /** Reports an endpoint that stays in use without an entry: it may write it again. */
  #reportLapse(endpointId: string, { revision }: StorePosition): void {
    if (!this.#state.directory.lapsed.has(endpointId)) return;
    this.#log.change('endpoint_lapsed', { endpointId, revision });
  }

  #logRegistered(known: ReadonlySet<string>): void {
    const { directory } = this.#state;
    directory.endpoints.forEach((endpoint, endpointId) => {
      if (known.has(endpointId)) return;
      const { state, startedAt } = endpoint;
      const isLeaving = isDeparting(directory, endpoint);
      this.#log.change('endpoint_registered', { endpointId, state, startedAt, isLeaving });
    });
  }

  #resetRestarted(endpointIds: readonly string[]): void {
    endpointIds.forEach((endpointId) => {
      resetEndpointWork(this.#state.scheduling, endpointId);
      resetEndpointHealth(this.#state.health, endpointId);
      resetRequestLimit(this.#state.requestLimits, endpointId);
      this.#crashes.recordEndpointEnd(endpointId, 'restarted');
      this.#log.change('endpoint_restarted', { endpointId });
    });
  }

  #decode({ id, text }: PublishedEntry): RegisteredEndpoint | null {
    if (text === null) return null;
    const endpoint = checkEndpoint(this.#source.decodeEndpoint(id, text));
    if (endpoint === null) this.#log.warn('entry_unreadable', { endpointId: id });
    return endpoint;
  }
}
