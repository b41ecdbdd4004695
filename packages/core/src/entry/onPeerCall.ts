import { match } from 'ts-pattern';

import type { Action } from './action.js';
import type { Core } from './core.js';
import type { MessageOf } from './message.js';

function ignore(): void {}

/** Answers a call of another VM by a `reply-peer` action. */
export function onPeerCalled(
  _core: Core,
  { call }: MessageOf<'peer-called'>,
  _now: number,
  _actions: Action[],
): void {
  match(call)
    .with({ method: 'heartbeat' }, ignore)
    .with({ method: 'sheet' }, ignore)
    .with({ method: 'claim' }, ignore)
    .with({ method: 'release' }, ignore)
    .with({ method: 'lists' }, ignore)
    .with({ method: 'lease' }, ignore)
    .exhaustive();
}

/** Takes in what a peer answered. */
export function onPeerReplied(
  _core: Core,
  { call }: MessageOf<'peer-replied'>,
  _now: number,
  _actions: Action[],
): void {
  match(call)
    .with({ method: 'heartbeat' }, ignore)
    .with({ method: 'sheet' }, ignore)
    .with({ method: 'claim' }, ignore)
    .with({ method: 'release' }, ignore)
    .with({ method: 'lists' }, ignore)
    .with({ method: 'lease' }, ignore)
    .exhaustive();
}

/** Takes in that a peer did not answer in time. */
export function onPeerFailed(
  _core: Core,
  { call }: MessageOf<'peer-failed'>,
  _now: number,
  _actions: Action[],
): void {
  match(call)
    .with({ method: 'heartbeat' }, ignore)
    .with({ method: 'sheet' }, ignore)
    .with({ method: 'claim' }, ignore)
    .with({ method: 'release' }, ignore)
    .with({ method: 'lists' }, ignore)
    .with({ method: 'lease' }, ignore)
    .exhaustive();
}
