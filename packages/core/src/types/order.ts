/** Order that sets the whole desired state of an engine; idempotent. */
export interface Order {
  readonly endpointId: string;
  /** Fencing number, compared in order: list revision, table revision, counter. */
  readonly fencing: readonly [number, number, number];
  /** Models to keep loaded, as `id@version`; all others are unloaded. */
  readonly models: readonly string[];
  readonly adapters: readonly string[];
  readonly role: 'mixed' | 'prefill' | 'decode';
}

/** Result of an order; `fenced`: the engine has seen a higher fencing number. */
export type OrderEnd = 'applied' | 'fenced' | 'failed' | 'unknown';
