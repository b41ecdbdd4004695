import type {
  Attempt,
  Endpoint,
  Holder,
  Order,
  Outcome,
  PeerCall,
  PeerReply,
  Refusal,
  Request,
  Vm,
} from '../types/index.js';

/** Something the core wants done; the router's tasks carry it out. */
export type Action =
  | {
      readonly kind: 'dispatch';
      readonly attempt: Attempt;
      readonly request: Request;
      readonly endpoint: Endpoint;
      /** Longest silence between two tokens before the connection is held to be dead. */
      readonly silenceMs: number;
    }
  | { readonly kind: 'cancel-attempt'; readonly attemptId: string }
  | { readonly kind: 'refuse'; readonly requestId: string; readonly refusal: Refusal }
  | { readonly kind: 'request-ended'; readonly requestId: string; readonly outcome: Outcome }
  /** The caller is given the answer of the attempt that holds the same key, from its VM. */
  | {
      readonly kind: 'join';
      readonly request: Request;
      readonly holder: Holder;
      /** The holder's VM; null when it is no longer listed. */
      readonly peer: Vm | null;
    }
  | { readonly kind: 'probe'; readonly endpoint: Endpoint }
  /** Connections that wait on the platform may not have lived through a pause. */
  | { readonly kind: 'restart-watches' }
  | { readonly kind: 'fetch-manifest'; readonly peer: Vm | null }
  | {
      readonly kind: 'fetch-sheet';
      readonly sheet: string;
      readonly digest: string;
      readonly peer: Vm | null;
    }
  | { readonly kind: 'fetch-list'; readonly peer?: Vm | null }
  | {
      readonly kind: 'call-peer';
      readonly callId: string;
      readonly peer: Vm;
      readonly call: PeerCall;
    }
  | { readonly kind: 'reply-peer'; readonly callId: string; readonly reply: PeerReply }
  | { readonly kind: 'order'; readonly endpoint: Endpoint; readonly order: Order }
  | {
      readonly kind: 'state-changed';
      readonly level: 'info' | 'warn' | 'error';
      readonly code: string;
      readonly fields: Readonly<Record<string, string | number | boolean>>;
    };

/** An action of one kind. */
export type ActionOf<K extends Action['kind']> = Extract<Action, { kind: K }>;
