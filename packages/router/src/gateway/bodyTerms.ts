import { rankOfRequest } from '@filbertlatch/core';

import { now } from '../clock.js';
import type { HeldKind } from '../memory/index.js';
import { findRequest, type RejectedRequest } from './admitRequest.js';
import type { GatewayContext } from './gatewayContext.js';
import type { ReceivedRequest } from './handleRequest.js';
import type { BodyDescription, BodyReadTerms, BodyRefusal } from './readBody.js';

/** Time for which a request waits to be read, and the fraction of its time left. */
const MAX_WAIT_MS = 1000;
const MAX_WAIT_FRACTION = 0.25;

/** Retry delay told to callers without room; drawn, so that they do not return together. */
const MIN_RETRY_AFTER_MS = 250;
const RETRY_AFTER_SPREAD_MS = 500;

const TOO_LARGE = {
  status: 413,
  reason: 'body_too_large',
  outcome: 'too_large',
  retryAfterMs: null,
};
const STALLED = { status: 408, reason: 'body_stalled', retryAfterMs: 0 };

/** Another VM may carry a request of a peer. */
const PEER_REASON = 'busy';

/** Terms on which the body of one request is read. */
export class BodyTerms implements BodyReadTerms {
  readonly maxBytes: number;

  readonly #context: GatewayContext;

  readonly #received: ReceivedRequest;

  constructor(context: GatewayContext, received: ReceivedRequest, maxBytes: number) {
    this.#context = context;
    this.#received = received;
    this.maxBytes = maxBytes;
  }

  get kind(): HeldKind {
    return this.#received.transit === null ? 'request' : 'transit';
  }

  describe(): BodyDescription | RejectedRequest {
    const found = findRequest(this.#context, this.#received.request);
    if (found.kind === 'rejected') return found;
    const { account, metadata, route } = found;
    const leftMs = Math.min(metadata.remainingMs ?? route.timeoutMs, route.timeoutMs);
    return {
      priority: rankOfRequest(account, route),
      owner: account?.id ?? null,
      giveUpAt: now() + Math.min(MAX_WAIT_MS, leftMs * MAX_WAIT_FRACTION),
      readBy: now() + leftMs,
    };
  }

  reject(refusal: BodyRefusal): RejectedRequest {
    const { metrics, state } = this.#context;
    const terms = { kind: 'rejected', routeId: 'none' } as const;
    if (refusal === 'too-large') return { ...terms, ...TOO_LARGE };
    metrics.countMemoryRefusal(refusal);
    const retryAfterMs = MIN_RETRY_AFTER_MS + state.random.next() * RETRY_AFTER_SPREAD_MS;
    if (this.#received.transit !== null) {
      return { ...terms, status: 503, reason: PEER_REASON, retryAfterMs };
    }
    if (refusal === 'stalled') return { ...terms, ...STALLED };
    return { ...terms, status: 503, reason: 'memory_short', retryAfterMs };
  }

  begin(): void {
    if (this.#received.awaitsContinue) this.#received.response.writeContinue();
  }
}
