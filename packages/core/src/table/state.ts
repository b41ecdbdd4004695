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

/** The active table, indexed for lookups. */
export interface TableView {
  readonly revision: number;
  readonly classes: ReadonlyMap<string, Class>;
  /** Accounts by the SHA-256 digest of their API key. */
  readonly accountsByKeyDigest: ReadonlyMap<string, Account>;
  readonly accounts: ReadonlyMap<string, Account>;
  readonly models: ReadonlyMap<string, Model>;
  readonly endpoints: ReadonlyMap<string, Endpoint>;
  readonly pools: ReadonlyMap<PoolId, readonly Endpoint[]>;
  readonly limits: ReadonlyMap<string, Limit>;
  /** Engines that the router may order to load and unload models. */
  readonly managed: readonly Engine[];
}

/** A sheet's published text and its checked rows. */
export interface Sheet {
  readonly name: string;
  readonly digest: string;
  readonly text: string;
  readonly rows: readonly unknown[];
}

/** The fetch of a sheet that is still missing. */
export interface SheetFetch {
  readonly sheet: string;
  readonly digest: string;
  /** Number of failed tries. */
  failures: number;
  /** Instant of the next try, epoch milliseconds; while a try is in flight, that of its timeout. */
  nextAt: number;
}

/** A table revision whose sheets are still being fetched. */
export interface WantedTable {
  readonly manifest: Manifest;
  /** Instant at which it became wanted, epoch milliseconds. */
  readonly since: number;
  /** Id of the peer that sent the manifest; null when it was the configuration service. */
  readonly toldBy: string | null;
}

/** Table state of one VM: the active revision, the wanted one and the fetches for it. */
export interface TableState {
  view: TableView | null;
  /** Manifest of the active table. */
  manifest: Manifest | null;
  /** Digest of the active manifest; empty before the first. */
  digest: string;
  /** Sheets of the active table, by name. */
  sheets: Map<string, Sheet>;
  /** The revision being fetched; null when there is none. */
  wanted: WantedTable | null;
  /** Sheets already fetched for `wanted`, by name. */
  fetched: Map<string, Sheet>;
  /** Fetches of the sheets still missing for `wanted`, by sheet name. */
  fetches: Map<string, SheetFetch>;
  /** Earliest instant of the next fetch of a newer manifest from a peer; epoch milliseconds. */
  nextManifestFetchAt: number;
  /**
   * Earliest instant of the next fetch of the manifest because fetches of sheets fail; epoch
   * milliseconds.
   */
  nextManifestRetryAt: number;
  /** The last other content seen under the active revision. */
  conflict: { readonly revision: number; readonly digest: string } | null;
  /** Instant of the configuration service's last answer, epoch milliseconds. */
  heardAt: number;
  /** The revision last refused, and why; null after a later one was accepted. */
  refused: { readonly revision: number; readonly faults: readonly string[] } | null;
}

/** Creates the table state of a VM that knows no table yet. */
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

/** Lists the ids of the pools that an endpoint belongs to: its models or its service. */
export function listPoolIds(endpoint: Endpoint): PoolId[] {
  if (endpoint.kind === 'service') return [`service:${endpoint.service}`];
  return endpoint.models.map((model): PoolId => `model:${model}`);
}

function groupByPool(endpoints: readonly Endpoint[]): Map<PoolId, Endpoint[]> {
  const pools = new Map<PoolId, Endpoint[]>();
  for (const endpoint of endpoints) {
    for (const pool of listPoolIds(endpoint)) {
      const members = pools.get(pool) ?? [];
      members.push(endpoint);
      pools.set(pool, members);
    }
  }
  return pools;
}

function indexById<T extends { readonly id: string }>(rows: readonly T[]): Map<string, T> {
  return new Map(rows.map((row) => [row.id, row]));
}

/** Indexes a checked table for lookups. */
export function createTableView(table: Table): TableView {
  return {
    revision: table.revision,
    classes: indexById(table.classes),
    accountsByKeyDigest: new Map(table.accounts.map((account) => [account.keyDigest, account])),
    accounts: indexById(table.accounts),
    models: indexById(table.models),
    endpoints: indexById(table.endpoints),
    pools: groupByPool(table.endpoints),
    limits: indexById(table.limits),
    managed: table.endpoints.filter((row): row is Engine => row.kind === 'engine' && row.managed),
  };
}
