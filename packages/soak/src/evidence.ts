import type { MemoryUse } from './memoryWatch.js';

/** Kinds of requests: runs once at most, may be repeated, a stream that may be resumed. */
export type RequestKind = 'once' | 'repeatable' | 'stream';

/** How a caller sees a connection end. */
export type ConnectionEnd = 'refused' | 'reset' | 'closed' | 'failed';

/** A request and what its caller has seen; instants are in ms since the epoch. */
export interface SeenRequest {
  readonly id: string;
  readonly kind: RequestKind;
  readonly vm: string;
  /** Its deadline, and the usual time-out of its route. */
  readonly timeoutMs: number;
  /** Events that its whole answer has; 0 if it is no stream. */
  readonly dueEvents: number;
  readonly sentAt: number;
  /** When its last byte was handed to the system; null if it never was. */
  readonly writtenAt: number | null;
  readonly endedAt: number;
  /** How its connection ended; null if the request did not end with it. */
  readonly connection: ConnectionEnd | null;
  /** Whether its connection had brought an answer before. */
  readonly isReused: boolean;
  readonly status: number | null;
  /** `cut` is an answer that ended early, `none` not even a head, `left` when the caller has left. */
  readonly answer: 'whole' | 'cut' | 'none' | 'left';
  /** False for an answer with other bytes than are due. */
  readonly isRight: boolean;
  readonly error: string | null;
  /** Numbers of the events that arrived, in order. */
  readonly events: readonly number[];
  /** Versions of the endpoints whose events arrived. */
  readonly versions: readonly string[];
  /** Key that it was sent with, on a route that needs one. */
  readonly key: string | null;
  /** Kind of stress whose callers sent it; none for the usual callers. */
  readonly stress?: string;
}

/** A request that an endpoint began to run. */
export interface Run {
  readonly id: string;
  readonly endpoint: string;
  readonly at: number;
  /** Null while the endpoint has not said that the run is over. */
  endedAt: number | null;
  /** Numbers of the first and the last event that it has sent; null without one. */
  events: { readonly first: number; readonly last: number } | null;
  /** Whether the answer has no end. */
  readonly isEndless?: boolean;
}

/** A signal that the soak sent to a VM's process. */
export interface SentSignal {
  readonly vm: string;
  readonly at: number;
  readonly signal: string;
}

/** The end of a VM's process. */
export interface ProcessEnd {
  readonly vm: string;
  readonly startedAt: number;
  readonly at: number;
  readonly code: number | null;
  readonly signal: string | null;
}

/** Harm to links of VMs; that of a link to the store is no reason for a request to fail. */
export interface LinkHarm {
  readonly vms: readonly string[];
  readonly from: number;
  readonly to: number;
  readonly isStoreOnly: boolean;
  /** The links and what was done to them. */
  readonly text: string;
}

/** A key, and when it came and went. */
export interface KeyTerm {
  readonly key: string;
  readonly addedAt: number;
  revokedAt: number | null;
}

/** What the soak did at one moment, in words. */
export interface PlayedAction {
  readonly at: number;
  readonly text: string;
}

/** What callers, endpoints and the soak itself have seen in one run. */
export interface Evidence {
  readonly startedAt: number;
  readonly requests: readonly SeenRequest[];
  readonly runs: readonly Run[];
  readonly signals: readonly SentSignal[];
  readonly ends: readonly ProcessEnd[];
  /** Endpoints that the soak killed. */
  readonly kills: readonly { readonly endpoint: string; readonly at: number }[];
  /** Endpoints that the soak stopped, until they went on. */
  readonly silences: readonly {
    readonly endpoint: string;
    readonly from: number;
    readonly to: number;
  }[];
  readonly harms: readonly LinkHarm[];
  readonly keys: readonly KeyTerm[];
  readonly storeFailures: readonly { readonly from: number; readonly to: number }[];
  /** Trouble that may cost requests, until it was over; not that of the store, nor configurations. */
  readonly troubles: readonly { readonly from: number; readonly to: number }[];
  /** Whether endpoints have places to spare, so that in calm all requests are served. */
  readonly hasSparePlaces: boolean;
  /** Instants at which configurations were published. */
  readonly configurations: readonly number[];
  readonly memory: MemoryUse;
  /** Times in which a VM ran with few descriptors. */
  readonly shortages: readonly {
    readonly vm: string;
    readonly from: number;
    readonly to: number;
  }[];
  /** All that the soak did, in the order of time. */
  readonly played: readonly PlayedAction[];
}
