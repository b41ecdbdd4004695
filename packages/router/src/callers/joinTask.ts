import { setTimeout as sleep } from 'node:timers/promises';

import type { ActionOf, AnswerReply, Refusal, RefusalCode } from '@filbertlatch/core';

import { now } from '../clock.js';
import type { Decider } from '../decider/index.js';
import { readEvent } from '../endpoints/streamEvent.js';
import type { PeerTask } from '../peers/index.js';
import type { Exchanges } from './exchanges.js';
import { replayAnswer, type KeptAnswer } from './keyedExchange.js';

/** Pause between two questions to the VM whose attempt holds the key. */
const ANSWER_POLL_INTERVAL_MS = 50;
/** Wait that a refusal asks of the caller before it sends the request again. */
const RETRY_AFTER_MS = 1000;

function createRefusal(code: RefusalCode, message: string): Refusal {
  // Retryable although it may have run: the key keeps a resend from running twice.
  return { code, message, verdict: 'may-have-run', retryable: true, retryAfterMs: RETRY_AFTER_MS };
}

// Returns null when the holder has no answer to give.
function decodeAnswer(reply: AnswerReply): KeptAnswer | null {
  if (reply.kind === 'events') {
    const events = reply.events.map((data) => readEvent(data, reply.streamId));
    return { kind: 'events', events };
  }
  if (reply.kind !== 'service') return null;
  const { status, headers, body } = reply;
  return { kind: 'service', answer: { status, headers, body: Buffer.from(body, 'base64') } };
}

/** Answers requests whose idempotency key is held by an attempt on another VM. */
export class JoinTask {
  readonly #exchanges: Exchanges;

  readonly #peers: PeerTask;

  readonly #decider: Decider;

  readonly #stop = new AbortController();

  constructor(exchanges: Exchanges, peers: PeerTask, decider: Decider) {
    this.#decider = decider;
    this.#exchanges = exchanges;
    this.#peers = peers;
  }

  /**
   * Waits for the holder's answer and sends it to the caller. Without an answer, a repeatable
   * request runs here if time is left; any other is refused as one that may have run.
   */
  async join(action: ActionOf<'join'>): Promise<void> {
    const { id } = action.request;
    const answer = await this.#fetchAnswer(action);
    if (answer === null && action.request.repeatable && now() < action.request.deadline) {
      this.#runWithoutKey(action);
      return;
    }
    const exchange = this.#exchanges.take(id);
    if (exchange === undefined) return;
    if (answer !== null) {
      replayAnswer(exchange, answer);
      return;
    }
    const isLate = now() >= action.request.deadline;
    const refusal = isLate
      ? createRefusal('deadline_unreachable', 'The request with this key did not end in time.')
      : createRefusal(
          'key_in_use',
          'Another request with this key may have run; its answer is lost.',
        );
    exchange.refuse(refusal);
  }

  /** Stops waiting for answers. */
  stop(): void {
    this.#stop.abort();
  }

  // The holder's answer is lost: a repeatable request can run again on this VM.
  #runWithoutKey({ request }: ActionOf<'join'>): void {
    if (this.#exchanges.find(request.id) === undefined) return;
    this.#decider.post({ kind: 'request-arrived', request: { ...request, key: null } });
  }

  async #fetchAnswer({ request, holder, peer }: ActionOf<'join'>): Promise<KeptAnswer | null> {
    const { fingerprint } = holder;
    const call = { method: 'answer', key: request.key ?? '', fingerprint } as const;
    const { signal } = this.#stop;
    while (peer !== null && now() < request.deadline && !signal.aborted) {
      try {
        const reply = await this.#peers.fetchAnswer(peer, call);
        if (reply.kind !== 'running') return decodeAnswer(reply);
      } catch {
        return null;
      }
      await sleep(ANSWER_POLL_INTERVAL_MS, undefined, { signal }).catch(() => {});
    }
    return null;
  }
}
