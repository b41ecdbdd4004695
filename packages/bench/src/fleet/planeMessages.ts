/** Starts the routers with the given indexes in a child process. */
export interface StartCommand {
  readonly kind: 'start';
  readonly indexes: readonly number[];
  readonly zones: number;
  readonly platformUrl: string;
  readonly readersPerZone: number | null;
  readonly watchSeconds: number;
}

/** Command of the experiment to a child process. */
export type PlaneCommand =
  | StartCommand
  | { readonly kind: 'measure' }
  | { readonly kind: 'progress' }
  | { readonly kind: 'stop' };

/** Resources that a child process has used since it started. */
export interface PlaneUsage {
  /** CPU time, user and system. */
  readonly cpuMs: number;
  /** TCP payload sent and received. */
  readonly bytes: number;
  /** Resident memory now. */
  readonly memoryBytes: number;
  /** Resident memory before the first router started. */
  readonly baseMemoryBytes: number;
  /** Number of routers in the process. */
  readonly routers: number;
}

/** Readiness and table revisions of the routers of a child process. */
export interface PlaneProgress {
  /** Number of routers that are ready. */
  readonly ready: number;
  /** Times at which a router first had a table revision, epoch milliseconds. */
  readonly seen: readonly { readonly revision: number; readonly at: number }[];
}

/** Reply of a child process to a command. */
export type PlaneReply =
  | { readonly kind: 'started'; readonly peers: readonly { index: number; peerUrl: string }[] }
  | { readonly kind: 'use'; readonly use: PlaneUsage }
  | { readonly kind: 'progress'; readonly progress: PlaneProgress }
  | { readonly kind: 'failed'; readonly reason: string };
