import type {
  AttemptEnd,
  CacheEvent,
  LoadReport,
  Manifest,
  OrderEnd,
  PeerCall,
  PeerReply,
  Request,
  VmList,
} from '../types/index.js';

/** Where a part of the table came from: the configuration service, or a peer by its id. */
export type Source = 'service' | { readonly peer: string };

/** Everything that can happen to the core; `decide` answers each with actions. */
export type Message =
  | { readonly kind: 'request-arrived'; readonly request: Request }
  | { readonly kind: 'caller-left'; readonly requestId: string }
  | { readonly kind: 'attempt-accepted'; readonly attemptId: string }
  | { readonly kind: 'tokens-arrived'; readonly attemptId: string; readonly count: number }
  | { readonly kind: 'attempt-ended'; readonly attemptId: string; readonly end: AttemptEnd }
  | { readonly kind: 'probe-ended'; readonly endpointId: string; readonly healthy: boolean }
  | { readonly kind: 'load-reported'; readonly report: LoadReport }
  | { readonly kind: 'cache-changed'; readonly event: CacheEvent }
  | { readonly kind: 'manifest-offered'; readonly source: Source; readonly manifest: Manifest }
  | {
      readonly kind: 'sheet-offered';
      readonly source: Source;
      readonly sheet: string;
      /** Computed by the reader from `text`, never taken from the sender. */
      readonly digest: string;
      readonly text: string;
    }
  | { readonly kind: 'sheet-missing'; readonly source: Source; readonly sheet: string }
  /** Without a source it was read from the platform. */
  | { readonly kind: 'list-offered'; readonly source?: Source; readonly list: VmList }
  /** The platform answered that nothing changed. */
  | { readonly kind: 'platform-unchanged'; readonly part: 'configuration' | 'list' }
  | { readonly kind: 'platform-failed'; readonly part: 'configuration' | 'list' }
  | { readonly kind: 'peer-called'; readonly callId: string; readonly call: PeerCall }
  | {
      readonly kind: 'peer-replied';
      readonly callId: string;
      readonly peerId: string;
      readonly call: PeerCall;
      readonly reply: PeerReply;
    }
  | {
      readonly kind: 'peer-failed';
      readonly callId: string;
      readonly peerId: string;
      readonly call: PeerCall;
    }
  | { readonly kind: 'order-ended'; readonly endpointId: string; readonly end: OrderEnd }
  /** For `graceMs` what still arrives is taken, until the balancer has noticed; 0 if absent. */
  | { readonly kind: 'drain-began'; readonly graceMs?: number }
  /** The time that settings give for leaving is over: what still runs is given up. */
  | { readonly kind: 'drain-timed-out' }
  | { readonly kind: 'woke'; readonly pausedMs: number }
  | { readonly kind: 'tick' };

/** A message of one kind. */
export type MessageOf<K extends Message['kind']> = Extract<Message, { kind: K }>;
