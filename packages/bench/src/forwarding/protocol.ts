import type { Table } from '@filbertlatch/core';

/** Engines that one process of the experiment runs. */
export interface EngineGroup {
  readonly firstId: number;
  readonly count: number;
  readonly slots: number;
  readonly stepMs: number;
  readonly model: string;
  readonly seed: number;
}

/** Streams that one process of the experiment keeps open for a while. */
export interface StreamLoad {
  readonly urls: readonly string[];
  readonly streams: number;
  readonly model: string;
  readonly apiKey: string;
  readonly className: string;
  readonly meanTokens: number;
  readonly warmupMs: number;
  readonly measureMs: number;
  readonly seed: number;
}

/** What the streams of one process saw while it measured. */
export interface StreamResult {
  readonly events: number;
  readonly failures: number;
  /** Encoded histogram of the time from an engine's write to a caller's read, in microseconds. */
  readonly latencies: string;
  readonly seconds: number;
}

/** What the experiment asks of one of its processes. */
export type Ask =
  | { readonly kind: 'start-engines'; readonly group: EngineGroup }
  | { readonly kind: 'start-router'; readonly table: Table }
  | { readonly kind: 'run-streams'; readonly load: StreamLoad }
  | { readonly kind: 'read-usage' };

/** What a process answers. */
export type Answer =
  | { readonly kind: 'engines-started'; readonly urls: readonly string[] }
  | { readonly kind: 'router-started'; readonly callerUrl: string }
  | { readonly kind: 'streams-ran'; readonly result: StreamResult }
  | {
      readonly kind: 'usage';
      readonly cpuMs: number;
      readonly rssBytes: number;
      /** Time in which it was ready to run and had no core. */
      readonly waitedMs: number;
      readonly atMs: number;
    }
  | { readonly kind: 'failed'; readonly message: string };

/** An answer of one kind. */
export type AnswerOf<K extends Answer['kind']> = Extract<Answer, { kind: K }>;
