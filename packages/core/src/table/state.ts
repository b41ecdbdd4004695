import type {
  Account,
  Class,
  Endpoint,
  Engine,
  Limit,
  Manifest,
  Model,
  PoolId,
  Table,
} from '../types/index.js';

/** A table in force, indexed for look-ups. */
export interface TableView {
  readonly revision: number;
  readonly classes: ReadonlyMap<string, Class>;
  readonly accountsByKeyDigest: ReadonlyMap<string, Account>;
  readonly accounts: ReadonlyMap<string, Account>;
  readonly models: ReadonlyMap<string, Model>;
  readonly endpoints: ReadonlyMap<string, Endpoint>;
  readonly pools: ReadonlyMap<PoolId, readonly Endpoint[]>;
  readonly limits: ReadonlyMap<string, Limit>;
  /** Engines that the fleet may order to load and unload models. */
  readonly managed: readonly Engine[];
}

/** A sheet's content as it was published, and its checked rows. */
export interface Sheet {
  readonly name: string;
  readonly digest: string;
  readonly text: string;
  readonly rows: readonly unknown[];
}

/** A sheet on its way. */
export interface Fetch {
  readonly sheet: string;
  readonly digest: string;
  failures: number;
  /** Instant of the next try, epoch milliseconds; while one runs, when it counts as lost. */
  nextAt: number;
}

/** A revision whose sheets are still being fetched. */
export interface Wanted {
  readonly manifest: Manifest;
  readonly since: number;
  /** Id of the peer that told of it; null when it was the configuration service. */
  readonly toldBy: string | null;
}

/** What this VM knows of the table. */
export interface TableState {
  view: TableView | null;
  manifest: Manifest | null;
  /** Digest of the manifest in force; empty before the first. */
  digest: string;
  /** Sheets in force, by name. */
  sheets: Map<string, Sheet>;
  wanted: Wanted | null;
  /** Sheets fetched for `wanted`. */
  fetched: Map<string, Sheet>;
  /** Sheets still missing for `wanted`, by name. */
  fetches: Map<string, Fetch>;
  /** Earliest instant of the next read of a manifest that a peer told of. */
  nextManifestFetchAt: number;
  /** Earliest instant of the next read of the manifest because sheets cannot be had. */
  nextManifestRetryAt: number;
  /** The last content that was seen under a revision that has another one here. */
  conflict: { readonly revision: number; readonly digest: string } | null;
  /** Instant of the last word from the configuration service, epoch milliseconds. */
  heardAt: number;
  refused: { readonly revision: number; readonly faults: readonly string[] } | null;
}

/** Creates the state of a VM that knows no table yet. */
export function createTableState(): TableState {
  return {
    view: null,
    manifest: null,
    digest: '',
    sheets: new Map(),
    wanted: null,
    fetched: new Map(),
    fetches: new Map(),
    nextManifestFetchAt: 0,
    nextManifestRetryAt: 0,
    conflict: null,
    heardAt: 0,
    refused: null,
  };
}

/** Returns the pools that an endpoint belongs to by its row. */
export function poolsOf(endpoint: Endpoint): PoolId[] {
  if (endpoint.kind === 'service') return [`service:${endpoint.service}`];
  return endpoint.models.map((model): PoolId => `model:${model}`);
}

function groupByPool(endpoints: readonly Endpoint[]): Map<PoolId, Endpoint[]> {
  const pools = new Map<PoolId, Endpoint[]>();
  for (const endpoint of endpoints) {
    for (const pool of poolsOf(endpoint)) {
      const members = pools.get(pool) ?? [];
      members.push(endpoint);
      pools.set(pool, members);
    }
  }
  return pools;
}

function byId<T extends { readonly id: string }>(rows: readonly T[]): Map<string, T> {
  return new Map(rows.map((row) => [row.id, row]));
}

/** Indexes a checked table. */
export function createTableView(table: Table): TableView {
  return {
    revision: table.revision,
    classes: byId(table.classes),
    accountsByKeyDigest: new Map(table.accounts.map((account) => [account.keyDigest, account])),
    accounts: byId(table.accounts),
    models: byId(table.models),
    endpoints: byId(table.endpoints),
    pools: groupByPool(table.endpoints),
    limits: byId(table.limits),
    managed: table.endpoints.filter((row): row is Engine => row.kind === 'engine' && row.managed),
  };
}
