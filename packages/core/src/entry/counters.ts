import type { Core } from './core.js';

/** Names of the core's counters, which only increase. */
export const counterNames = [
  'requests',
  'requests_complete',
  'requests_late',
  'requests_shed',
  'requests_refused',
  'requests_failed',
  'requests_abandoned',
  'requests_joined',
  'attempts',
  'retries',
  'moves',
  'streams_cut',
  'resumes',
  'tokens_delivered',
  'tokens_wasted',
  'ejections',
  'tables_accepted',
  'tables_refused',
  'lists_accepted',
  'orders',
  'suspicions',
  'claims',
  'claims_won',
  'claims_lost',
  'claims_held',
  'orders_failed',
  'table_conflicts',
  'sheets_missing',
  'heartbeats',
  'peers_lost',
  'pauses',
] as const;

/** The name of a counter. */
export type CounterName = (typeof counterNames)[number];

/** Increments a counter, by 1 unless `by` is given. */
export function increment(core: Core, name: CounterName, by = 1): void {
  core.counters.set(name, (core.counters.get(name) ?? 0) + by);
}
