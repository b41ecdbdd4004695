import type { Heartbeat } from './heartbeat.js';
import type { Manifest } from './table.js';
import type { VmList } from './vm.js';

/** Asks a witness to grant a key to one attempt. */
export interface ClaimCall {
  readonly method: 'claim';
  readonly key: string;
  readonly fingerprint: string;
  readonly attemptId: string;
  readonly claimant: string;
  readonly endpointId: string;
  readonly streamId: string;
  /** When the caller issued the key, epoch milliseconds; null when the key does not say. */
  readonly issuedAt: number | null;
  /** Home region of the key's account, from whose zones the witnesses are selected. */
  readonly region: string;
  /** Revision of the VM list that the witnesses were selected from. */
  readonly listRevision: number;
}

/** The attempt that holds a key. */
export interface KeyHolder {
  readonly attemptId: string;
  readonly claimant: string;
  readonly endpointId: string;
  readonly streamId: string;
  readonly fingerprint: string;
}

/**
 * Reason why a witness neither grants a key nor names its holder: it started after the key may have
 * been issued, has not joined yet, is leaving, finds the key too old or issued in the future, or
 * knows a newer VM list than the claimant.
 */
export type Abstention = 'started-later' | 'starting' | 'leaving' | 'key-expired' | 'newer-list';

/** A witness's answer to a claim. */
export type ClaimReply =
  | { readonly kind: 'granted' }
  | { readonly kind: 'held'; readonly holder: KeyHolder }
  | {
      readonly kind: 'abstained';
      readonly reason: Abstention;
      /** The witness's VM lists, oldest first, for reason `newer-list`; otherwise empty. */
      readonly lists: readonly VmList[];
    };

/** Releases the grant of an attempt that was never dispatched. */
export interface ReleaseCall {
  readonly method: 'release';
  readonly key: string;
  readonly attemptId: string;
}

/** Asks the VM of a key's holder for the answer to the holder's request. */
export interface AnswerCall {
  readonly method: 'answer';
  readonly key: string;
  readonly fingerprint: string;
}

/** The answer to the request of a key's holder, as far as its VM has it. */
export type AnswerReply =
  | { readonly kind: 'running' }
  | { readonly kind: 'unknown' }
  | {
      readonly kind: 'events';
      /** Id of the endpoint's stream that the events came from. */
      readonly streamId: string;
      readonly events: readonly string[];
    }
  | {
      readonly kind: 'service';
      readonly status: number;
      readonly headers: Readonly<Record<string, string>>;
      /** In base64. */
      readonly body: string;
    };

/** Asks a peer for the VM lists that the caller lacks. */
export interface ListsCall {
  readonly method: 'lists';
  readonly from: string;
  /** Revisions that the caller knows, oldest first. */
  readonly revisions: readonly number[];
}

/** Reply to a `lists` call. */
export interface ListsReply {
  /** False while the peer has just started and may lack lists itself. */
  readonly hasJoined: boolean;
  /** Revision of the peer's current list; -1 when it has none. */
  readonly revision: number;
  /** Lists that the caller lacked, oldest first. */
  readonly lists: readonly VmList[];
}

/** Asks for a sheet's text, or, by the names `manifest` and `list`, for the manifest or VM list. */
export interface SheetCall {
  readonly method: 'sheet';
  readonly sheet: string;
  /** Digest that the text must have; null for any. */
  readonly digest: string | null;
}

/** Reply to a `sheet` call: the one that was asked for; null or absent if the peer lacks it. */
export interface SheetReply {
  readonly manifest: Manifest | null;
  readonly list?: VmList | null;
  readonly text: string | null;
}

/** Asks a limit's coordinator for a lease on a part of the limit's rate. */
export interface LeaseCall {
  readonly method: 'lease';
  readonly limitId: string;
  readonly tokensPerSecond: number;
  readonly from: string;
  readonly listRevision: number;
  /** Start of the lease by the caller's clock, epoch milliseconds; only the caller evaluates it. */
  readonly askedAt: number;
}

/** Reply to a `lease` call: the leased rate; 0 when the coordinator has none to grant yet. */
export interface LeaseReply {
  readonly tokensPerSecond: number;
  readonly durationMs: number;
}

/** Sends the caller's heartbeat to a peer. */
export interface HeartbeatCall {
  readonly method: 'heartbeat';
  readonly heartbeat: Heartbeat;
}

/** Reply to a `heartbeat` call: the receiver's own heartbeat. */
export interface HeartbeatReply {
  readonly heartbeat: Heartbeat;
}

/** A call from one VM to another. */
export type PeerCall =
  ClaimCall | ReleaseCall | ListsCall | AnswerCall | SheetCall | LeaseCall | HeartbeatCall;

/** The reply to each call, by method. */
export interface PeerReplies {
  readonly claim: ClaimReply;
  readonly release: { readonly released: boolean };
  readonly lists: ListsReply;
  readonly answer: AnswerReply;
  readonly sheet: SheetReply;
  readonly lease: LeaseReply;
  readonly heartbeat: HeartbeatReply;
}

/** The reply to any call. */
export type PeerReply = PeerReplies[keyof PeerReplies];
