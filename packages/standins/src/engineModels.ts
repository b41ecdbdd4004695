import { setTimeout as sleep } from 'node:timers/promises';

import type { Order } from '@filbertlatch/core';

/** Says whether one fencing number is above another, comparing its parts in order. */
function isFencingAbove(left: Order['fencing'], right: Order['fencing']): boolean {
  const at = left.findIndex((part, index) => part !== right[index]);
  return at >= 0 && left[at]! > right[at]!;
}

/** Loads the weights of one model, `id@version`; resolves when it can be served. */
export type LoadModel = (model: string) => Promise<void>;

/** The loaded models of a stand-in engine, changed by orders. */
export class EngineModels {
  /** Accepted orders, oldest first. */
  readonly taken: Order[] = [];

  #loaded: readonly string[];

  #lastFencing: Order['fencing'] = [-1, -1, -1];

  #lastOrder: Order | null = null;

  readonly #checksFencing: boolean;

  readonly #load: LoadModel;

  constructor(loaded: readonly string[], checksFencing: boolean, load: LoadModel) {
    this.#loaded = loaded;
    this.#checksFencing = checksFencing;
    this.#load = load;
  }

  /** Models that it can serve now, as `id@version`; new ones are added when all of an order are loaded. */
  get loaded(): readonly string[] {
    return this.#loaded;
  }

  /** Says whether any version of a model can be served now, by its id. */
  serves(model: string): boolean {
    return this.#loaded.some((name) => name.replace(/@[^@]*$/, '') === model);
  }

  /**
   * Accepts an order and applies it in the background; false if fencing is checked and the order’s
   * number is not above the last one’s.
   */
  take(order: Order): boolean {
    if (this.#checksFencing && !isFencingAbove(order.fencing, this.#lastFencing)) return false;
    this.#lastFencing = order.fencing;
    this.taken.push(order);
    this.#lastOrder = order;
    void this.#apply(order);
    return true;
  }

  async #apply(order: Order): Promise<void> {
    this.#loaded = this.#loaded.filter((name) => order.models.includes(name));
    const missing = order.models.filter((name) => !this.#loaded.includes(name));
    await Promise.all(missing.map((model) => this.#load(model)));
    if (this.#lastOrder === order) this.#loaded = order.models;
  }
}

/** Creates a loader that takes a fixed time and reads no weight store. */
export function createTimedLoad(loadMs: number): LoadModel {
  return async () => {
    await sleep(loadMs);
  };
}
