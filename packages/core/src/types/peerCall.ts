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
  /** When the caller issued the key; null when the key does not say. */
  readonly issuedAt: number | null;
  /** Home region of the key's account, whose zones give the witnesses. */
  readonly region: string;
  readonly listRevision: number;
}

/** The attempt that holds a key. */
export interface Holder {
  readonly attemptId: string;
  readonly claimant: string;
  readonly endpointId: string;
  readonly streamId: string;
  readonly fingerprint: string;
}

/** Why a witness neither grants a key nor names its holder. */
export type Abstention = 'started-later' | 'starting' | 'leaving' | 'key-expired' | 'newer-list';

/** A witness's answer to a claim. */
export type ClaimReply =
  | { readonly kind: 'granted' }
  | { readonly kind: 'held'; readonly holder: Holder }
  | {
      readonly kind: 'abstained';
      readonly reason: Abstention;
      /** The witness's lists, oldest first, when the last is newer; otherwise empty. */
      readonly lists: readonly VmList[];
    };

/** Gives back a grant that was never dispatched. */
export interface ReleaseCall {
  readonly method: 'release';
  readonly key: string;
  readonly attemptId: string;
}

/** Asks the VM of a key's holder for the holder's answer. */
export interface AnswerCall {
  readonly method: 'answer';
  readonly key: string;
  readonly fingerprint: string;
}

/** The answer of a key's holder, as far as its VM has it. */
export type AnswerReply =
  | { readonly kind: 'running' }
  | { readonly kind: 'unknown' }
  | {
      readonly kind: 'events';
      /** Id under which the events came from the endpoint. */
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

/** Tells a peer which lists the caller knows, and asks for those that it lacks. */
export interface ListsCall {
  readonly method: 'lists';
  readonly from: string;
  /** Revisions that the caller knows, oldest first. */
  readonly revisions: readonly number[];
}

/** The lists that a peer knows. */
export interface ListsReply {
  /** False: the peer has just started and may lack lists itself. */
  readonly hasJoined: boolean;
  /** Revision of the peer's own list; -1: it has none. */
  readonly revision: number;
  /** Lists that the caller lacked, oldest first. */
  readonly lists: readonly VmList[];
}

/** Asks for a sheet's content, or for the manifest or list when `sheet` is `manifest` or `list`. */
export interface SheetCall {
  readonly method: 'sheet';
  readonly sheet: string;
  readonly digest: string | null;
}

/** A sheet's text and position. */
export interface SheetReply {
  readonly manifest: Manifest | null;
  readonly list?: VmList | null;
  readonly text: string | null;
}

/** Asks a limit's coordinator for a part of the limit for a few seconds. */
export interface LeaseCall {
  readonly method: 'lease';
  readonly limitId: string;
  readonly tokensPerSecond: number;
  readonly from: string;
  readonly listRevision: number;
  /** By the caller's clock, which alone reads it again: the lease runs from here. */
  readonly askedAt: number;
}

/** The part that was leased; zero when the coordinator has none to give yet. */
export interface LeaseReply {
  readonly tokensPerSecond: number;
  readonly durationMs: number;
}

/** Tells a peer about the sender. */
export interface HeartbeatCall {
  readonly method: 'heartbeat';
  readonly heartbeat: Heartbeat;
}

/** The receiver's own heartbeat in return. */
export interface HeartbeatReply {
  readonly heartbeat: Heartbeat;
}

/** A call between VMs. */
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

/** Any reply. */
export type PeerReply = PeerReplies[keyof PeerReplies];
