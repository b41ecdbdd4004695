import { match } from 'ts-pattern';

import { recordCacheEvent } from '../placement/index.js';
import type { Action } from './action.js';
import type { Core } from './core.js';
import type { Message } from './message.js';
import { onAttemptEnded, onTokensArrived } from './onAttempt.js';
import { onDrainBegan, onDrainTimedOut } from './onDrain.js';
import { onPeerCalled, onPeerFailed, onPeerReplied } from './onPeerCall.js';
import {
  onListOffered,
  onManifestOffered,
  onPlatformFailed,
  onPlatformUnchanged,
  onSheetMissing,
  onSheetOffered,
} from './onPlatform.js';
import { onCallerLeft, onRequestArrived } from './onRequest.js';
import { onLoadReported, onOrderEnded } from './onReport.js';
import { onTick } from './onTick.js';
import { onWoke } from './recheck.js';
import { onProbeEnded } from './watchHealth.js';

const NO_ACTIONS: readonly Action[] = [];

function ignore(): void {}

/**
 * Applies a message to the state and returns the actions to carry out. Deterministic: the same
 * state, message, `now` (epoch milliseconds) and random numbers give the same actions.
 */
export function decide(core: Core, message: Message, now: number): readonly Action[] {
  // Hot path: one message per token, which never yields an action.
  if (message.kind === 'tokens-arrived') {
    onTokensArrived(core, message, now);
    return NO_ACTIONS;
  }
  const actions: Action[] = [];
  match(message)
    .with({ kind: 'request-arrived' }, (m) => onRequestArrived(core, m, now, actions))
    .with({ kind: 'caller-left' }, (m) => onCallerLeft(core, m, now, actions))
    .with({ kind: 'attempt-accepted' }, ignore)
    .with({ kind: 'attempt-ended' }, (m) => onAttemptEnded(core, m, now, actions))
    .with({ kind: 'load-reported' }, (m) => onLoadReported(core, m, now, actions))
    .with({ kind: 'probe-ended' }, (m) => onProbeEnded(core, m, now))
    .with({ kind: 'cache-changed' }, (m) => recordCacheEvent(core.placement.prefixCaches, m.event))
    .with({ kind: 'manifest-offered' }, (m) => onManifestOffered(core, m, now, actions))
    .with({ kind: 'sheet-offered' }, (m) => onSheetOffered(core, m, now, actions))
    .with({ kind: 'sheet-missing' }, (m) => onSheetMissing(core, m, now))
    .with({ kind: 'list-offered' }, (m) => onListOffered(core, m, now, actions))
    .with({ kind: 'platform-unchanged' }, (m) => onPlatformUnchanged(core, m, now))
    .with({ kind: 'platform-failed' }, (m) => onPlatformFailed(core, m, now, actions))
    .with({ kind: 'peer-called' }, (m) => onPeerCalled(core, m, now, actions))
    .with({ kind: 'peer-replied' }, (m) => onPeerReplied(core, m, now, actions))
    .with({ kind: 'peer-failed' }, (m) => onPeerFailed(core, m, now, actions))
    .with({ kind: 'order-ended' }, (m) => onOrderEnded(core, m, actions))
    .with({ kind: 'drain-began' }, (m) => onDrainBegan(core, m, now, actions))
    .with({ kind: 'drain-timed-out' }, () => onDrainTimedOut(core, now, actions))
    .with({ kind: 'woke' }, (m) => onWoke(core, m, now, actions))
    .with({ kind: 'tick' }, () => onTick(core, now, actions))
    .exhaustive();
  return actions;
}
