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

interface KeptEntry {
  readonly fingerprint: string;
  readonly answer: KeptAnswer;
}

/** How much is kept, and for how long; sizes as `sizeOfAnswer` counts them. */
export interface RetentionLimits {
  readonly maxBytes: number;
  readonly maxAnswerBytes: number;
  readonly keepMs: number;
}

/** The keyed requests under way on this VM, and the answers kept for resends of their keys. */
export class KeyedAnswers {
  readonly #running = new Map<string, KeyedExchange>();

  readonly #kept: LRUCache<string, KeptEntry>;

  readonly #maxAnswerBytes: number;

  constructor({ maxBytes, maxAnswerBytes, keepMs }: RetentionLimits) {
    this.#maxAnswerBytes = maxAnswerBytes;
    this.#kept = new LRUCache({
      maxSize: maxBytes,
      ttl: keepMs,
      sizeCalculation: ({ answer }) => sizeOfAnswer(answer),
    });
  }

  /**
   * Opens the keyed exchange of a caller's request. Returns null when nothing has to run: a kept or
   * running answer of the same key serves the caller, or the key belongs to a different request.
   */
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

  /** Removes a caller that disconnected from the running request of its key. */
  leave(caller: Exchange): void {
    this.#running.get(caller.request.key ?? '')?.leave(caller);
  }

  /** Returns the answer of a key to another VM, or says that it still runs or is unknown. */
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
