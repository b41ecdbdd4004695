import { setTimeout as sleep } from 'node:timers/promises';

import type { Order } from '@filbertlatch/core';

function isAbove(left: Order['fencing'], right: Order['fencing']): boolean {
  const at = left.findIndex((part, index) => part !== right[index]);
  return at >= 0 && left[at]! > right[at]!;
}

/** Loads one model's weights; resolves when it can serve. */
export type LoadModel = (model: string) => Promise<void>;

/** The models of a stand-in engine, changed by orders. */
export class EngineModels {
  /** Orders taken, in order. */
  readonly taken: Order[] = [];

  #loaded: readonly string[];

  #fencing: Order['fencing'] = [-1, -1, -1];

  #current: Order | null = null;

  readonly #checksFencing: boolean;

  readonly #load: LoadModel;

  constructor(loaded: readonly string[], checksFencing: boolean, load: LoadModel) {
    this.#loaded = loaded;
    this.#checksFencing = checksFencing;
    this.#load = load;
  }

  /** Models that it can serve now, as `id@version`; none while it loads. */
  get loaded(): readonly string[] {
    return this.#loaded;
  }

  /** Says whether a model can be served now, by its id. */
  serves(model: string): boolean {
    return this.#loaded.some((name) => name.replace(/@[^@]*$/, '') === model);
  }

  /** Takes an order; false when its fencing number is not above the last one's. */
  take(order: Order): boolean {
    if (this.#checksFencing && !isAbove(order.fencing, this.#fencing)) return false;
    this.#fencing = order.fencing;
    this.taken.push(order);
    this.#current = order;
    void this.#apply(order);
    return true;
  }

  async #apply(order: Order): Promise<void> {
    this.#loaded = this.#loaded.filter((name) => order.models.includes(name));
    const missing = order.models.filter((name) => !this.#loaded.includes(name));
    await Promise.all(missing.map((model) => this.#load(model)));
    if (this.#current === order) this.#loaded = order.models;
  }
}

/** Loads that take a fixed time, without a weight store. */
export function createTimedLoad(loadMs: number): LoadModel {
  return async () => {
    await sleep(loadMs);
  };
}
