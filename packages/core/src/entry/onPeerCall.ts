import { match } from 'ts-pattern';

import type { ClaimReply, HeartbeatReply, LeaseReply, ListsReply } from '../types/index.js';
import type { Action } from './action.js';
import type { Core } from './core.js';
import type { MessageOf } from './message.js';
import {
  onClaimCalled,
  onClaimFailed,
  onClaimReplied,
  onListsCalled,
  onListsReplied,
  onReleaseCalled,
} from './onClaimCall.js';
import { onHeartbeatCalled, onHeartbeatFailed, onHeartbeatReplied } from './onHeartbeat.js';
import { onLeaseCalled, onLeaseReplied } from './onLease.js';
import { onSheetCalled } from './onSheetCall.js';

function ignore(): void {}

/** Answers a peer's call with a `reply-peer` action. */
export function onPeerCalled(
  core: Core,
  { callId, call }: MessageOf<'peer-called'>,
  now: number,
  actions: Action[],
): void {
  match(call)
    .with({ method: 'heartbeat' }, ({ heartbeat }) => {
      onHeartbeatCalled(core, callId, heartbeat, now, actions);
    })
    .with({ method: 'sheet' }, (sheetCall) => onSheetCalled(core, callId, sheetCall, actions))
    .with({ method: 'claim' }, (claim) => onClaimCalled(core, callId, claim, now, actions))
    .with({ method: 'release' }, (release) => onReleaseCalled(core, callId, release, actions))
    .with({ method: 'lists' }, (lists) => onListsCalled(core, callId, lists, now, actions))
    // Handled by the router's task that stores the answers.
    .with({ method: 'answer' }, ignore)
    .with({ method: 'lease' }, (leaseCall) => onLeaseCalled(core, callId, leaseCall, now, actions))
    .exhaustive();
}

/** Processes a peer's reply. */
export function onPeerReplied(
  core: Core,
  { call, peerId, reply }: MessageOf<'peer-replied'>,
  now: number,
  actions: Action[],
): void {
  match(call)
    .with({ method: 'heartbeat' }, () => {
      const { heartbeat } = reply as HeartbeatReply;
      onHeartbeatReplied(core, peerId, heartbeat, now, actions);
    })
    .with({ method: 'sheet' }, ignore)
    .with({ method: 'claim' }, (claim) => {
      onClaimReplied(core, claim, peerId, reply as ClaimReply, now, actions);
    })
    .with({ method: 'release' }, ignore)
    .with({ method: 'lists' }, () => {
      onListsReplied(core, peerId, reply as ListsReply, now, actions);
    })
    // Handled by the router's task that stores the answers.
    .with({ method: 'answer' }, ignore)
    .with({ method: 'lease' }, (leaseCall) => {
      onLeaseReplied(core, leaseCall, reply as LeaseReply);
    })
    .exhaustive();
}

/** Processes a failed call to a peer. */
export function onPeerFailed(
  core: Core,
  { call, peerId }: MessageOf<'peer-failed'>,
  now: number,
  actions: Action[],
): void {
  match(call)
    .with({ method: 'heartbeat' }, () => onHeartbeatFailed(core, peerId, now, actions))
    .with({ method: 'sheet' }, ignore)
    .with({ method: 'claim' }, (claim) => onClaimFailed(core, claim, peerId, now, actions))
    .with({ method: 'release' }, ignore)
    .with({ method: 'lists' }, ignore)
    // Handled by the router's task that stores the answers.
    .with({ method: 'answer' }, ignore)
    .with({ method: 'lease' }, ignore)
    .exhaustive();
}
