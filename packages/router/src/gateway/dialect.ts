import type { IncomingHttpHeaders } from 'node:http';

import type { GenerationSize } from '@filbertlatch/core';

/** Metadata of a request, read from the caller's headers. */
export interface RequestMetadata {
  readonly requestId: string | null;
  /** Milliseconds for which the caller will wait; null when it does not say. */
  readonly remainingMs: number | null;
  /** API key of the client account. */
  readonly key: string | null;
  /** Size of a generation; null for a plain request. */
  readonly size: GenerationSize | null;
  /** Id of the last event of a stream that the caller takes up; null for a new one. */
  readonly lastEventId: string | null;
  /** Id of the request that brought the first event of a stream that the caller takes up. */
  readonly resumedRequestId: string | null;
}

/** Metadata that the gateway adds to the caller's headers for an endpoint. */
export interface ForwardedMetadata {
  readonly endpointId: string;
  readonly remainingMs: number;
  readonly accountId: string | null;
  /** Priority at the endpoint, 0 (most urgent) to 9; null for a plain request. */
  readonly priority: number | null;
  /** Id of the last event sent to the caller, when a stream resumes at another endpoint. */
  readonly lastEventId: string | null;
}

/** Request counts that an endpoint reports with an answer. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** Limit that an endpoint names in an answer, or a value that cannot be read as one. */
export type NamedLimit =
  | {
      readonly kind: 'limit';
      /** Requests a second that the endpoint takes from all VMs together. */
      readonly perSecond: number;
    }
  | { readonly kind: 'malformed'; readonly text: string };

/** Metadata of an answer, read from the endpoint's status and headers. */
export interface AnswerMetadata {
  /** Id of the request that is answered. */
  readonly requestId: string | null;
  /** True when the endpoint states that the request did not run there. */
  readonly isNotRun: boolean;
  /** True when the answer carries a MAC; the MAC itself is not verified. */
  readonly isSigned: boolean;
  /** Id that the endpoint gives for itself. */
  readonly endpointId: string | null;
  readonly load: ReportedLoad | null;
  /** Null when the answer names no limit. */
  readonly limit: NamedLimit | null;
  /** True when the endpoint says that it leaves. */
  readonly isLeaving: boolean;
  /** Requests that the endpoint may turn away in a second before it falls over; absent for others. */
  readonly brittleness?: number | null;
  /** Time for which an endpoint that refuses a request wants none of this VM; null without one. */
  readonly pauseMs: number | null;
}

/** Translates between HTTP headers and the metadata that the gateway uses. */
export interface Dialect {
  /** Reads a caller's headers; missing and malformed values are null. */
  parseRequest(headers: IncomingHttpHeaders): RequestMetadata;
  /** Returns the headers to send to an endpoint, as a flat list of names and values. */
  formatRequest(callerHeaders: readonly string[], metadata: ForwardedMetadata): string[];
  /** Reads an endpoint's status and headers, a flat list of names and values. */
  parseAnswer(status: number, headers: readonly string[]): AnswerMetadata;
}
