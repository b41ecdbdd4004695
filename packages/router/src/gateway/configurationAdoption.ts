import {
  adoptConfiguration,
  compareEras,
  configurationVersion,
  type Configuration,
  type ConfigurationOrigin,
} from '@filbertlatch/core';

import { now } from '../clock.js';
import type { GatewayLog } from './gatewayLog.js';
import type { GatewayState } from './gatewayState.js';
import type { PublicationSource } from './publication.js';

/** Time after the store's return from a copy in which its operator writes again what it lost. */
export const CONFIGURATION_GRACE_MS = 10_000;

/** A version that the store had when it was last read, in an era that is not named yet. */
interface UnsettledVersion {
  readonly text: string;
  readonly era: number;
}

/** Puts configurations in force that the store or peers offer. */
export class ConfigurationAdoption {
  readonly #state: GatewayState;

  readonly #source: PublicationSource;

  readonly #log: GatewayLog;

  /** What the store had when it was last read, unless it is in force for certain; null without one. */
  #unsettled: UnsettledVersion | null = null;

  /** Epoch milliseconds; the store has what it lost by then, or it stays lost. */
  #settlesAt = 0;

  /**
   * The same for what this process reads first: the store may have come back from a copy just before.
   * Null until it has read the store.
   */
  #firstReadSettlesAt: number | null = null;

  /** Version that the store had when this process first read it. */
  #firstVersion: number | null = null;

  constructor(state: GatewayState, source: PublicationSource, log: GatewayLog) {
    this.#state = state;
    this.#source = source;
    this.#log = log;
  }

  /** Records that the store has come back from a copy. */
  startEra(): void {
    this.#settlesAt = now() + CONFIGURATION_GRACE_MS;
  }

  /** Adopts the last of the store's versions that can be read. */
  offerOfStore(texts: readonly string[], era: number | null): void {
    this.#firstReadSettlesAt ??= now() + CONFIGURATION_GRACE_MS;
    const { routing } = this.#state;
    const isSettled = now() >= this.#storeSettlesAt;
    const text = texts.findLast((candidate) =>
      this.#offer(candidate, 'store', ({ version }) => {
        this.#firstVersion ??= version;
        const isWrittenSince = version > this.#firstVersion;
        const isNamed = routing.era !== null || isSettled || isWrittenSince;
        return { era: isNamed ? era : null, isSettled };
      }),
    );
    const isInForce = routing.era !== null && compareEras(era, routing.era) <= 0;
    this.#unsettled = text === undefined || era === null || isInForce ? null : { text, era };
  }

  /** Adopts a peer's configuration if it is valid, and newer by the era and then by its version. */
  offerOfPeer(text: string, era: number | null, source: string): void {
    // Peers name an era only once the store has settled in it.
    if (this.#state.routing.era === null && this.#isBehind(era)) this.#settle();
    this.#offer(text, source, () => ({ era, isSettled: now() >= this.#settlesAt }));
  }

  /** Adopts what the store has instead of a version that was not written again in time. */
  maintain(listenedUntil: number): void {
    if (this.#unsettled !== null && listenedUntil >= this.#storeSettlesAt) this.#settle();
  }

  get #storeSettlesAt(): number {
    return Math.max(this.#settlesAt, this.#firstReadSettlesAt ?? 0);
  }

  /** True when the store was read in an earlier era. */
  #isBehind(era: number | null): boolean {
    return this.#unsettled !== null && compareEras(era, this.#unsettled.era) > 0;
  }

  #settle(): void {
    if (this.#unsettled === null) return;
    const { text, era } = this.#unsettled;
    this.#unsettled = null;
    this.#offer(text, 'store', () => ({ era, isSettled: true }));
  }

  /** False when the text cannot be read. */
  #offer(
    text: string,
    source: string,
    findOrigin: (configuration: Configuration) => ConfigurationOrigin,
  ): boolean {
    const { routing } = this.#state;
    const before = configurationVersion(routing);
    try {
      const configuration = this.#source.decodeConfiguration(text);
      const origin = findOrigin(configuration);
      if (!adoptConfiguration(routing, configuration, origin)) return true;
      this.#state.configurationText = text;
      const { version, routes } = configuration;
      const fields = { version, before, era: origin.era, routes: routes.length, source };
      this.#log.change('configuration_adopted', fields);
      return true;
    } catch (error) {
      this.#log.warn('configuration_unreadable', { source, version: before, error: String(error) });
      return false;
    }
  }
}
