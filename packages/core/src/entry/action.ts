import type {
  Attempt,
  Endpoint,
  KeyHolder,
  Order,
  Outcome,
  PeerCall,
  PeerReply,
  Refusal,
  Request,
  Vm,
} from '../types/index.js';

/** A side effect that `decide` returns; the router's tasks carry it out. */
export type Action =
  | {
      readonly kind: 'dispatch';
      readonly attempt: Attempt;
      readonly request: Request;
      readonly endpoint: Endpoint;
      /** Time without a token after which the connection counts as dead. */
      readonly silenceTimeoutMs: number;
    }
  | { readonly kind: 'cancel-attempt'; readonly attemptId: string }
  | { readonly kind: 'refuse'; readonly requestId: string; readonly refusal: Refusal }
  | { readonly kind: 'request-ended'; readonly requestId: string; readonly outcome: Outcome }
  /** Serves the caller the answer of the attempt with the same key, from that attempt's VM. */
  | {
      readonly kind: 'join';
      readonly request: Request;
      readonly holder: KeyHolder;
      /** The holder's VM; null when it is no longer listed. */
      readonly peer: Vm | null;
    }
  | { readonly kind: 'probe'; readonly endpoint: Endpoint }
  /** Reopens the platform watches: their connections may not have survived a pause. */
  | { readonly kind: 'restart-watches' }
  /** Fetches the table's manifest; `peer` is null for the configuration service. */
  | { readonly kind: 'fetch-manifest'; readonly peer: Vm | null }
  /** Fetches one sheet of the table; `peer` is null for the configuration service. */
  | {
      readonly kind: 'fetch-sheet';
      readonly sheet: string;
      readonly digest: string;
      readonly peer: Vm | null;
    }
  /** Fetches the VM list; `peer` is null or absent for the platform. */
  | { readonly kind: 'fetch-list'; readonly peer?: Vm | null }
  | {
      readonly kind: 'call-peer';
      readonly callId: string;
      readonly peer: Vm;
      readonly call: PeerCall;
    }
  | { readonly kind: 'reply-peer'; readonly callId: string; readonly reply: PeerReply }
  | { readonly kind: 'order'; readonly endpoint: Endpoint; readonly order: Order }
  /** Writes a log line with the event name `code`. */
  | {
      readonly kind: 'state-changed';
      readonly level: 'info' | 'warn' | 'error';
      readonly code: string;
      readonly fields: Readonly<Record<string, string | number | boolean>>;
    };

/** An action of one kind. */
export type ActionOf<K extends Action['kind']> = Extract<Action, { kind: K }>;
