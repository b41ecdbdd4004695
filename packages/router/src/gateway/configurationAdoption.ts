import {
  adoptConfiguration,
  compareEras,
  configurationVersion,
  type ConfigurationOrigin,
} from '@filbertlatch/core';

import { now } from '../clock.js';
import type { GatewayLog } from './gatewayLog.js';
import type { GatewayState } from './gatewayState.js';
import type { PublicationSource } from './publication.js';

/** Time after the store's return from a copy in which its operator writes again what it lost. */
export const CONFIGURATION_GRACE_MS = 10_000;

/** A version of the store that is lower than the one in force. */
interface LowerVersion {
  readonly text: string;
  readonly era: number;
}

/** Puts configurations in force that the store or peers offer. */
export class ConfigurationAdoption {
  readonly #state: GatewayState;

  readonly #source: PublicationSource;

  readonly #log: GatewayLog;

  /** What the store had when it was last read, unless it is in force; null without one. */
  #lower: LowerVersion | null = null;

  /** Epoch milliseconds; the store has what it lost by then, or it stays lost. */
  #settlesAt = 0;

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
    const origin = { era, isSettled: now() >= this.#settlesAt };
    const text = texts.findLast((candidate) => this.#offer(candidate, 'store', origin));
    const isLater = compareEras(era, this.#state.routing.era) > 0;
    this.#lower = text !== undefined && era !== null && isLater ? { text, era } : null;
  }

  /** Adopts a peer's configuration if it is valid, and newer by the era and then by its version. */
  offerOfPeer(text: string, era: number | null, source: string): void {
    // A peer that has started since the store's return believes the copy at once.
    this.#offer(text, source, { era, isSettled: now() >= this.#settlesAt });
  }

  /** Adopts what the store has instead of a version that was not written again in time. */
  maintain(listenedUntil: number): void {
    if (this.#lower === null || listenedUntil < this.#settlesAt) return;
    const { text, era } = this.#lower;
    this.#lower = null;
    this.#offer(text, 'store', { era, isSettled: true });
  }

  /** False when the text cannot be read. */
  #offer(text: string, source: string, origin: ConfigurationOrigin): boolean {
    const { routing } = this.#state;
    const before = configurationVersion(routing);
    try {
      const configuration = this.#source.decodeConfiguration(text);
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
