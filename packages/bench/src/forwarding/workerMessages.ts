import type { Table } from '@filbertlatch/core';

/** Engines that one worker process runs. */
export interface EngineGroup {
  /** Number in the id of the first engine; the others count up from it. */
  readonly firstId: number;
  readonly count: number;
  /** Slots of each engine. */
  readonly slots: number;
  /** Time in which an engine produces one token for each of its streams. */
  readonly stepMs: number;
  readonly model: string;
  readonly seed: number;
}

/** Streams that one worker process keeps open, and for how long. */
export interface StreamLoad {
  /** Base URLs over which the streams are spread. */
  readonly urls: readonly string[];
  /** Number of streams open at the same time. */
  readonly streams: number;
  readonly model: string;
  readonly apiKey: string;
  readonly className: string;
  readonly meanTokens: number;
  readonly warmupMs: number;
  readonly measureMs: number;
  readonly seed: number;
}

/** Measurements of the streams of one worker process. */
export interface StreamResult {
  /** Number of token events received. */
  readonly events: number;
  /** Number of streams that failed, during the warm-up too. */
  readonly failures: number;
  /** Encoded HDR histogram of the time from an engine's write to a caller's read, microseconds. */
  readonly latencyHistogram: string;
  /** Duration of the measurement. */
  readonly seconds: number;
}

/** Command of the experiment to a worker process. */
export type WorkerCommand =
  | { readonly kind: 'start-engines'; readonly group: EngineGroup }
  | { readonly kind: 'start-router'; readonly table: Table }
  | { readonly kind: 'run-streams'; readonly load: StreamLoad }
  | { readonly kind: 'read-usage' };

/** Reply of a worker process to a command. */
export type WorkerReply =
  | { readonly kind: 'engines-started'; readonly urls: readonly string[] }
  | { readonly kind: 'router-started'; readonly callerUrl: string }
  | { readonly kind: 'streams-ran'; readonly result: StreamResult }
  | {
      readonly kind: 'usage';
      /** CPU time so far, user and system. */
      readonly cpuMs: number;
      readonly rssBytes: number;
      /** Time so far in which the process was ready to run but waited for a core. */
      readonly waitedMs: number;
      /** Time of the reading on the worker's monotonic clock. */
      readonly atMs: number;
    }
  | { readonly kind: 'failed'; readonly message: string };

/** The reply of one kind. */
export type WorkerReplyOf<K extends WorkerReply['kind']> = Extract<WorkerReply, { kind: K }>;
