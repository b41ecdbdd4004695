import type { AnswerCall, AnswerReply, Refusal } from '@filbertlatch/core';
import { LRUCache } from 'lru-cache';

import type { Exchange } from './exchange.js';
import { KeyedExchange, replayAnswer, sizeOfAnswer, type KeptAnswer } from './keyedExchange.js';

const KEY_REUSED: Refusal = {
  code: 'key_reused',
  message: 'The key was used for another request.',
  verdict: 'not-run',
  retryable: false,
  retryAfterMs: null,
};

interface Kept {
  readonly fingerprint: string;
  readonly answer: KeptAnswer;
}

/** How much is kept, and for how long. */
export interface KeepingLimits {
  readonly maxBytes: number;
  readonly maxAnswerBytes: number;
  readonly keepMs: number;
}

/** Answers of keyed requests that run at most once: those under way, and the whole ones. */
export class KeyedAnswers {
  readonly #running = new Map<string, KeyedExchange>();

  readonly #kept: LRUCache<string, Kept>;

  readonly #maxAnswerBytes: number;

  constructor({ maxBytes, maxAnswerBytes, keepMs }: KeepingLimits) {
    this.#maxAnswerBytes = maxAnswerBytes;
    this.#kept = new LRUCache({
      maxSize: maxBytes,
      ttl: keepMs,
      sizeCalculation: ({ answer }) => sizeOfAnswer(answer),
    });
  }

  /** Takes a caller's exchange; null when another with the same key answers it. */
  open(caller: Exchange): KeyedExchange | null {
    const { key, fingerprint } = caller.request;
    if (key === null) throw new TypeError('a request without a key has no keyed answer');
    const kept = this.#kept.get(key);
    const running = this.#running.get(key);
    const known = kept?.fingerprint ?? running?.request.fingerprint ?? fingerprint;
    if (known !== fingerprint) {
      caller.refuse(KEY_REUSED);
      return null;
    }
    if (kept !== undefined) {
      replayAnswer(caller, kept.answer);
      return null;
    }
    if (running !== undefined) {
      running.join(caller);
      return null;
    }
    const opened = new KeyedExchange(caller, this.#maxAnswerBytes, this.#onEnd);
    this.#running.set(key, opened);
    return opened;
  }

  /** Goes on without a caller that joined another's request. */
  leave(caller: Exchange): void {
    this.#running.get(caller.request.key ?? '')?.leave(caller);
  }

  /** Finds the answer that another VM asks for. */
  find({ key, fingerprint }: AnswerCall): AnswerReply {
    const kept = this.#kept.get(key);
    if (kept === undefined || kept.fingerprint !== fingerprint) {
      return this.#running.has(key) ? { kind: 'running' } : { kind: 'unknown' };
    }
    const { answer } = kept;
    if (answer.kind === 'events') {
      const streamId = answer.events[0]?.chunk.id ?? 'none';
      return { kind: 'events', streamId, events: answer.events.map(({ data }) => data) };
    }
    const { status, headers, body } = answer.answer;
    return { kind: 'service', status, headers, body: body.toString('base64') };
  }

  readonly #onEnd = ({ request }: KeyedExchange, answer: KeptAnswer | null): void => {
    const { key, fingerprint } = request;
    if (key === null) return;
    this.#running.delete(key);
    if (answer !== null) this.#kept.set(key, { fingerprint, answer });
  };
}
