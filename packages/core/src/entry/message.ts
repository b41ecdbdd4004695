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

/** Where a part of the table or a VM list was read: the configuration service or a peer, by id. */
export type OfferSource = 'service' | { readonly peer: string };

/** An event for the core; `decide` handles it and returns the actions to carry out. */
export type Message =
  | { readonly kind: 'request-arrived'; readonly request: Request }
  | { readonly kind: 'caller-left'; readonly requestId: string }
  | { readonly kind: 'attempt-accepted'; readonly attemptId: string }
  | { readonly kind: 'tokens-arrived'; readonly attemptId: string; readonly count: number }
  | { readonly kind: 'attempt-ended'; readonly attemptId: string; readonly end: AttemptEnd }
  | { readonly kind: 'probe-ended'; readonly endpointId: string; readonly healthy: boolean }
  | { readonly kind: 'load-reported'; readonly report: LoadReport }
  | { readonly kind: 'cache-changed'; readonly event: CacheEvent }
  | { readonly kind: 'manifest-offered'; readonly source: OfferSource; readonly manifest: Manifest }
  | {
      readonly kind: 'sheet-offered';
      readonly source: OfferSource;
      readonly sheet: string;
      /** Computed by the reader from `text`, never taken from the sender. */
      readonly digest: string;
      readonly text: string;
    }
  | { readonly kind: 'sheet-missing'; readonly source: OfferSource; readonly sheet: string }
  /** A VM list; without `source` it was read from the platform. */
  | { readonly kind: 'list-offered'; readonly source?: OfferSource; readonly list: VmList }
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
  /** New requests are accepted for `graceMs` more (default 0), until the load balancer notices. */
  | { readonly kind: 'drain-began'; readonly graceMs?: number }
  /** The drain's time limit has passed: all open requests are refused. */
  | { readonly kind: 'drain-timed-out' }
  /** The process was paused for this long. */
  | { readonly kind: 'woke'; readonly pausedMs: number }
  | { readonly kind: 'tick' };

/** A message of one kind. */
export type MessageOf<K extends Message['kind']> = Extract<Message, { kind: K }>;
