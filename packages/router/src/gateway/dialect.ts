import type { IncomingHttpHeaders } from 'node:http';

import type { GenerationSize } from '@filbertlatch/core';

/** What a caller's headers say of its request. */
export interface RequestMetadata {
  readonly requestId: string | null;
  /** How long the caller will wait; null when it does not say. */
  readonly remainingMs: number | null;
  readonly key: string | null;
  /** Size of a generation; null for a plain request. */
  readonly size: GenerationSize | null;
}

/** What the gateway tells an endpoint beside the caller's own headers. */
export interface ForwardedMetadata {
  readonly endpointId: string;
  readonly remainingMs: number;
  readonly accountId: string | null;
  /** Rank at the endpoint: 0 is the most urgent, 9 the least; null for a plain request. */
  readonly priority: number | null;
  /** Id of the last event that the caller has, when a stream goes on elsewhere. */
  readonly lastEventId: string | null;
}

/** Requests at an endpoint as it tells them with an answer. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** What an endpoint's status and headers say of the run. */
export interface AnswerMetadata {
  readonly requestId: string | null;
  /** True when the endpoint states that the request did not run there. */
  readonly isNotRun: boolean;
  /** True when it carries the endpoint's MAC. */
  readonly isSigned: boolean;
  readonly instanceId: string | null;
  readonly load: ReportedLoad | null;
}

/** Translates between headers on the wire and what the gateway decides from. */
export interface Dialect {
  /** Reads a caller's headers; the values of malformed ones are null. */
  parseRequest(headers: IncomingHttpHeaders): RequestMetadata;
  /** Returns the headers for an endpoint: name, value, name, value. */
  formatRequest(callerHeaders: readonly string[], call: ForwardedMetadata): string[];
  /** Reads an endpoint's answer; headers are name, value, name, value. */
  parseAnswer(status: number, headers: readonly string[]): AnswerMetadata;
}
