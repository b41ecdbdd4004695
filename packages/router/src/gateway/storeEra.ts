import { compareEras } from '@filbertlatch/core';

import type { GatewayLog } from './gatewayLog.js';

/** Follows the era of the store, which rises each time the store comes back from an older copy. */
export class StoreEra {
  readonly #log: GatewayLog;

  #current: number | null = null;

  constructor(log: GatewayLog) {
    this.#log = log;
  }

  /**
   * Reads the era that an answer names. Null when it names none that can be read; throws when it is
   * earlier than one seen: the answer is not of the store as it is now.
   */
  read(era: number | undefined): number | null {
    if (era === undefined) return null;
    if (!Number.isSafeInteger(era) || era < 0) {
      this.#log.warn('store_era_unreadable', { era: String(era) });
      return null;
    }
    if (compareEras(era, this.#current) < 0) {
      throw new Error(`the store answers in era ${era} after ${this.#current}`);
    }
    return era;
  }

  /** Makes an era the current one; true when the store has come back from a copy since the one before. */
  advance(era: number | null): boolean {
    const isLater = compareEras(era, this.#current) > 0;
    this.#current = era ?? this.#current;
    return isLater;
  }
}
