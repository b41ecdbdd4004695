/** Starts routers in a process. */
export interface StartPlanes {
  readonly kind: 'start';
  readonly indexes: readonly number[];
  readonly zones: number;
  readonly platformUrl: string;
  readonly readersPerZone: number | null;
  readonly watchSeconds: number;
}

/** What the parent asks of a process. */
export type PlaneCommand =
  | StartPlanes
  | { readonly kind: 'measure' }
  | { readonly kind: 'progress' }
  | { readonly kind: 'stop' };

/** What a process has used since it started. */
export interface PlaneUse {
  /** Processor time of the process, milliseconds. */
  readonly processorMs: number;
  readonly bytes: number;
  /** Resident memory now, and before the first router, bytes. */
  readonly memory: number;
  readonly baseMemory: number;
  readonly routers: number;
}

/** How far the routers of a process are. */
export interface PlaneProgress {
  readonly ready: number;
  /** Instants at which each router first had each revision, epoch milliseconds. */
  readonly seen: readonly { readonly revision: number; readonly at: number }[];
}

/** What a process answers. */
export type PlaneReply =
  | { readonly kind: 'started'; readonly peers: readonly { index: number; peerUrl: string }[] }
  | { readonly kind: 'use'; readonly use: PlaneUse }
  | { readonly kind: 'progress'; readonly progress: PlaneProgress }
  | { readonly kind: 'failed'; readonly reason: string };
