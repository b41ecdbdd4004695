import { setTimeout as sleep } from 'node:timers/promises';

import type { ActionOf, AnswerReply, Refusal, RefusalCode } from '@filbertlatch/core';

import { now } from '../clock.js';
import { readEvent } from '../endpoints/streamEvent.js';
import type { PeerTask } from '../peers/index.js';
import type { Exchanges } from './exchanges.js';
import { replayAnswer, type KeptAnswer } from './keyedExchange.js';

const POLL_MS = 50;
const RETRY_AFTER_MS = 1000;

function refusalOf(code: RefusalCode, message: string): Refusal {
  // The key keeps a resend from running twice.
  return { code, message, verdict: 'may-have-run', retryable: true, retryAfterMs: RETRY_AFTER_MS };
}

function toAnswer(reply: AnswerReply): KeptAnswer | null {
  if (reply.kind === 'events') {
    const events = reply.events.map((data) => readEvent(data, reply.streamId));
    return { kind: 'events', events };
  }
  if (reply.kind !== 'service') return null;
  const { status, headers, body } = reply;
  return { kind: 'service', answer: { status, headers, body: Buffer.from(body, 'base64') } };
}

/** The task that fetches answers of keys that attempts on other VMs hold. */
export class JoinTask {
  readonly #exchanges: Exchanges;

  readonly #peers: PeerTask;

  readonly #stop = new AbortController();

  constructor(exchanges: Exchanges, peers: PeerTask) {
    this.#exchanges = exchanges;
    this.#peers = peers;
  }

  /** Waits for the holder's answer and gives it to the caller, or says that it may have run. */
  async join(action: ActionOf<'join'>): Promise<void> {
    const { id } = action.request;
    const answer = await this.#fetch(action);
    const exchange = this.#exchanges.take(id);
    if (exchange === undefined) return;
    if (answer !== null) {
      replayAnswer(exchange, answer);
      return;
    }
    const isLate = now() >= action.request.deadline;
    const refusal = isLate
      ? refusalOf('deadline_unreachable', 'The request with this key did not end in time.')
      : refusalOf('key_in_use', 'Another request with this key may have run; its answer is lost.');
    exchange.refuse(refusal);
  }

  /** Ends all waiting. */
  stop(): void {
    this.#stop.abort();
  }

  async #fetch({ request, holder, peer }: ActionOf<'join'>): Promise<KeptAnswer | null> {
    const { fingerprint } = holder;
    const call = { method: 'answer', key: request.key ?? '', fingerprint } as const;
    const { signal } = this.#stop;
    while (peer !== null && now() < request.deadline && !signal.aborted) {
      try {
        const reply = await this.#peers.askAnswer(peer, call);
        if (reply.kind !== 'running') return toAnswer(reply);
      } catch {
        return null;
      }
      await sleep(POLL_MS, undefined, { signal }).catch(() => {});
    }
    return null;
  }
}
