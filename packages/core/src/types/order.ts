/** Orders the wanted state of an engine; declarative and idempotent. */
export interface Order {
  readonly endpointId: string;
  /** Compared as a tuple: list revision, table revision, counter. */
  readonly fencing: readonly [number, number, number];
  /** Models to have loaded, as `id@version`; all others are unloaded. */
  readonly models: readonly string[];
  readonly adapters: readonly string[];
  readonly role: 'mixed' | 'prefill' | 'decode';
}

/** How an engine answered an order. */
export type OrderEnd = 'applied' | 'fenced' | 'failed' | 'unknown';
