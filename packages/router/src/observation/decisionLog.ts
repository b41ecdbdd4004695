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

const MAX_STEPS_PER_REQUEST = 32;
const MAX_OTHER_CANDIDATES = 8;

interface OpenAttempt {
  readonly record: DecisionRecord;
  hasToken: boolean;
}

function verdictOf(end: AttemptEnd): Verdict {
  return end.kind === 'complete' ? 'ran' : end.verdict;
}

/** Keeps the decisions about the latest requests, for the admin API. */
export class DecisionLog {
  readonly #core: Core;

  readonly #records: LRUCache<string, DecisionRecord>;

  readonly #openAttempts = new Map<string, OpenAttempt>();

  constructor(core: Core, maxRecords: number) {
    this.#core = core;
    this.#records = new LRUCache({ max: maxRecords });
  }

  /** Records a message and the actions it led to. Hot path: called for every token event. */
  watch(message: Message, actions: readonly Action[], now: number): void {
    if (message.kind === 'tokens-arrived') {
      const open = this.#openAttempts.get(message.attemptId);
      if (open === undefined || open.hasToken) return;
      open.hasToken = true;
      this.#addStep(open.record, { kind: 'first-token', at: now });
      return;
    }
    this.#watchMessage(message, now);
    for (const action of actions) this.#watchAction(action, now);
    if (message.kind === 'request-arrived') this.#recordQueued(message.request, now);
  }

  /** Returns the decisions about a request; undefined when it is unknown or already evicted. */
  find(requestId: string): DecisionRecord | undefined {
    return this.#records.peek(requestId);
  }

  #watchMessage(message: Message, now: number): void {
    if (message.kind === 'request-arrived') this.#beginRecord(message.request);
    if (message.kind === 'caller-left') {
      this.#addStep(this.#records.peek(message.requestId), { kind: 'caller-left', at: now });
    }
    if (message.kind === 'attempt-accepted') {
      this.#addStep(this.#openAttempts.get(message.attemptId)?.record, {
        kind: 'accepted',
        at: now,
      });
    }
    if (message.kind === 'attempt-ended') this.#endAttempt(message.attemptId, message.end, now);
  }

  #watchAction(action: Action, now: number): void {
    if (action.kind === 'dispatch') this.#recordDispatch(action, now);
    if (action.kind === 'join') {
      const step = { kind: 'joined', at: now, joined: action.holder.attemptId } as const;
      this.#addStep(this.#records.peek(action.request.id), step);
    }
    if (action.kind === 'refuse') {
      const { code, message, verdict, retryAfterMs } = action.refusal;
      const step = { kind: 'refused', at: now, code, message, verdict, retryAfterMs } as const;
      this.#addStep(this.#records.peek(action.requestId), step);
    }
    if (action.kind === 'request-ended') {
      const step = { kind: 'ended', at: now, outcome: action.outcome } as const;
      this.#addStep(this.#records.peek(action.requestId), step);
    }
  }

  #beginRecord(request: Request): void {
    const { id: requestId, accountId, classId, pool, arrivedAt, deadline, promptTokens } = request;
    const record = { requestId, accountId, classId, pool, arrivedAt, deadline, promptTokens };
    this.#records.set(requestId, { ...record, steps: [] });
  }

  #recordQueued({ id, pool }: Request, now: number): void {
    const record = this.#records.peek(id);
    if (record === undefined || record.steps.length > 0) return;
    this.#addStep(record, { kind: 'queued', at: now, waiting: this.#countWaitingByClass(pool) });
  }

  #countWaitingByClass(pool: PoolId): Record<string, number> {
    const lanes = listLaneLengths(this.#core.admission).filter((lane) => lane.pool === pool);
    return Object.fromEntries(lanes.map(({ classId, waiting }) => [classId, waiting]));
  }

  #recordDispatch({ attempt, request, endpoint }: ActionOf<'dispatch'>, now: number): void {
    const record = this.#records.peek(request.id);
    if (record === undefined) return;
    this.#openAttempts.set(attempt.id, { record, hasToken: false });
    const members = this.#core.table.view?.pools.get(request.pool) ?? [];
    const others = members
      .slice(0, MAX_OTHER_CANDIDATES + 1)
      .filter((other) => other.id !== endpoint.id);
    this.#addStep(record, {
      kind: 'dispatched',
      at: now,
      attemptId: attempt.id,
      chosen: this.#describeCandidate(endpoint),
      poolSize: members.length,
      others: others.slice(0, MAX_OTHER_CANDIDATES).map((other) => this.#describeCandidate(other)),
    });
  }

  #describeCandidate({ id: endpointId, zone, slots }: Endpoint): Candidate {
    return { endpointId, zone, slots, inFlight: countInFlight(this.#core.placement, endpointId) };
  }

  #endAttempt(attemptId: string, end: AttemptEnd, now: number): void {
    const open = this.#openAttempts.get(attemptId);
    if (open === undefined) return;
    this.#openAttempts.delete(attemptId);
    const cause = end.kind === 'failed' ? end.cause : null;
    const verdict = verdictOf(end);
    this.#addStep(open.record, { kind: 'attempt-ended', at: now, end: end.kind, cause, verdict });
  }

  // eslint-disable-next-line class-methods-use-this -- kept beside the callers that record steps
  #addStep(record: DecisionRecord | undefined, step: DecisionStep): void {
    if (record === undefined || record.steps.length >= MAX_STEPS_PER_REQUEST) return;
    record.steps.push(step);
  }
}
