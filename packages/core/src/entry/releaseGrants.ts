import { releaseGrant } from '../claims/index.js';
import type { ReleaseCall, Vm } from '../types/index.js';
import type { Action } from './action.js';
import { nextId, type Core } from './core.js';

/**
 * Releases the grants of a claim at its witnesses, so that the key can be claimed again. Only for
 * an attempt that did not run or whose request is repeatable.
 */
export function releaseGrants(
  core: Core,
  key: string,
  attemptId: string,
  witnesses: readonly Vm[],
  actions: Action[],
): void {
  const call: ReleaseCall = { method: 'release', key, attemptId };
  for (const peer of witnesses) {
    if (peer.id === core.membership.self.id) releaseGrant(core.claims, call);
    else actions.push({ kind: 'call-peer', callId: nextId(core, 'c'), peer, call });
  }
}
