import {
  countInFlight,
  listLaneLengths,
  type Action,
  type ActionOf,
  type AttemptEnd,
  type Core,
  type Endpoint,
  type Message,
  type PoolId,
  type Request,
  type Verdict,
} from '@filbertlatch/core';
import { LRUCache } from 'lru-cache';

import type { Candidate, DecisionRecord, DecisionStep } from './decisionRecord.js';

const MOST_STEPS = 32;
const MOST_OTHERS = 8;

interface OpenAttempt {
  readonly record: DecisionRecord;
  hasToken: boolean;
}

function verdictOf(end: AttemptEnd): Verdict {
  return end.kind === 'complete' ? 'ran' : end.verdict;
}

/** The task that keeps what was decided about the latest requests, for operators to ask. */
export class DecisionLog {
  readonly #core: Core;

  readonly #records: LRUCache<string, DecisionRecord>;

  readonly #attempts = new Map<string, OpenAttempt>();

  constructor(core: Core, most: number) {
    this.#core = core;
    this.#records = new LRUCache({ max: most });
  }

  /** Takes in a message and the actions that it led to. Hot path: one call a token. */
  watch(message: Message, actions: readonly Action[], now: number): void {
    if (message.kind === 'tokens-arrived') {
      const open = this.#attempts.get(message.attemptId);
      if (open === undefined || open.hasToken) return;
      open.hasToken = true;
      this.#add(open.record, { kind: 'first-token', at: now });
      return;
    }
    this.#watchMessage(message, now);
    for (const action of actions) this.#watchAction(action, now);
    if (message.kind === 'request-arrived') this.#noteQueued(message.request, now);
  }

  /** Finds what was decided about a request; undefined once it is forgotten. */
  find(requestId: string): DecisionRecord | undefined {
    return this.#records.peek(requestId);
  }

  #watchMessage(message: Message, now: number): void {
    if (message.kind === 'request-arrived') this.#begin(message.request);
    if (message.kind === 'caller-left') {
      this.#add(this.#records.peek(message.requestId), { kind: 'caller-left', at: now });
    }
    if (message.kind === 'attempt-accepted') {
      this.#add(this.#attempts.get(message.attemptId)?.record, { kind: 'accepted', at: now });
    }
    if (message.kind === 'attempt-ended') this.#endAttempt(message.attemptId, message.end, now);
  }

  #watchAction(action: Action, now: number): void {
    if (action.kind === 'dispatch') this.#noteDispatch(action, now);
    if (action.kind === 'join') {
      const step = { kind: 'joined', at: now, joined: action.holder.attemptId } as const;
      this.#add(this.#records.peek(action.request.id), step);
    }
    if (action.kind === 'refuse') {
      const { code, message, verdict, retryAfterMs } = action.refusal;
      const step = { kind: 'refused', at: now, code, message, verdict, retryAfterMs } as const;
      this.#add(this.#records.peek(action.requestId), step);
    }
    if (action.kind === 'request-ended') {
      const step = { kind: 'ended', at: now, outcome: action.outcome } as const;
      this.#add(this.#records.peek(action.requestId), step);
    }
  }

  #begin(request: Request): void {
    const { id: requestId, accountId, classId, pool, arrivedAt, deadline, promptTokens } = request;
    const record = { requestId, accountId, classId, pool, arrivedAt, deadline, promptTokens };
    this.#records.set(requestId, { ...record, steps: [] });
  }

  #noteQueued({ id, pool }: Request, now: number): void {
    const record = this.#records.peek(id);
    if (record === undefined || record.steps.length > 0) return;
    this.#add(record, { kind: 'queued', at: now, waiting: this.#waitingFor(pool) });
  }

  #waitingFor(pool: PoolId): Record<string, number> {
    const lanes = listLaneLengths(this.#core.admission).filter((lane) => lane.pool === pool);
    return Object.fromEntries(lanes.map(({ classId, waiting }) => [classId, waiting]));
  }

  #noteDispatch({ attempt, request, endpoint }: ActionOf<'dispatch'>, now: number): void {
    const record = this.#records.peek(request.id);
    if (record === undefined) return;
    this.#attempts.set(attempt.id, { record, hasToken: false });
    const members = this.#core.table.view?.pools.get(request.pool) ?? [];
    const others = members.slice(0, MOST_OTHERS + 1).filter((other) => other.id !== endpoint.id);
    this.#add(record, {
      kind: 'dispatched',
      at: now,
      attemptId: attempt.id,
      chosen: this.#describe(endpoint),
      poolSize: members.length,
      others: others.slice(0, MOST_OTHERS).map((other) => this.#describe(other)),
    });
  }

  #describe({ id: endpointId, zone, slots }: Endpoint): Candidate {
    return { endpointId, zone, slots, inFlight: countInFlight(this.#core.placement, endpointId) };
  }

  #endAttempt(attemptId: string, end: AttemptEnd, now: number): void {
    const open = this.#attempts.get(attemptId);
    if (open === undefined) return;
    this.#attempts.delete(attemptId);
    const cause = end.kind === 'failed' ? end.cause : null;
    const verdict = verdictOf(end);
    this.#add(open.record, { kind: 'attempt-ended', at: now, end: end.kind, cause, verdict });
  }

  // eslint-disable-next-line class-methods-use-this -- belongs to the steps of this log
  #add(record: DecisionRecord | undefined, step: DecisionStep): void {
    if (record === undefined || record.steps.length >= MOST_STEPS) return;
    record.steps.push(step);
  }
}
