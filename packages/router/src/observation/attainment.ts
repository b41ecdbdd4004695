import type { Action, Core, Message, Request } from '@filbertlatch/core';
import { findClass } from '@filbertlatch/core';

import {
  addToCounts,
  addToSlot,
  createCounts,
  createSlot,
  summarizeSlots,
  type ClassCounts,
  type ClassFigures,
  type ClassSlot,
  type EndedRequest,
} from './classFigures.js';
import { SlidingWindow } from './slidingWindow.js';

const SLOT_MS = 10_000;
const SLOT_COUNT = 6;

/** Length of the sliding window over which attainment is measured. */
export const ATTAINMENT_WINDOW_MS = SLOT_MS * SLOT_COUNT;

/** A request without a final answer, with its progress. */
interface OpenRequest {
  readonly request: Request;
  /** Epoch milliseconds of the first token of any attempt. */
  firstTokenAt: number | null;
  producedTokens: number;
  answerTokens: number;
}

/** Counts of one class: in the sliding window and since the process started. */
interface ClassRecord {
  readonly window: SlidingWindow<ClassSlot>;
  readonly total: ClassCounts;
}

/** Follows the decider's messages and actions and keeps each class's attainment and totals. */
export class Attainment {
  readonly #core: Core;

  readonly #openRequests = new Map<string, OpenRequest>();

  readonly #requestsByAttempt = new Map<string, OpenRequest>();

  readonly #classes = new Map<string, ClassRecord>();

  constructor(core: Core) {
    this.#core = core;
  }

  /** Records a message and the actions it led to. Hot path: called for every token event. */
  watch(message: Message, actions: readonly Action[], now: number): void {
    if (message.kind === 'tokens-arrived') {
      this.#addTokens(message.attemptId, message.count, now);
      return;
    }
    if (message.kind === 'request-arrived') this.#beginRequest(message.request);
    if (message.kind === 'attempt-ended') this.#endAttempt(message.attemptId, message.end);
    for (const action of actions) {
      if (action.kind === 'dispatch') this.#beginAttempt(action.attempt.id, action.request.id);
      if (action.kind === 'request-ended') this.#endRequest(action.requestId, action.outcome, now);
    }
  }

  /** Returns the figures of a class over the sliding window that ends now. */
  figures(classId: string, now: number): ClassFigures {
    return summarizeSlots(this.#classes.get(classId)?.window.valuesInWindow(now) ?? []);
  }

  /** Returns the counts of a class since the process started. */
  totals(classId: string): Readonly<ClassCounts> {
    return this.#classes.get(classId)?.total ?? createCounts();
  }

  /** Counts the requests of each class that have no final answer yet. */
  countOpen(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const { request } of this.#openRequests.values()) {
      counts.set(request.classId, (counts.get(request.classId) ?? 0) + 1);
    }
    return counts;
  }

  #beginRequest(request: Request): void {
    const open = { request, firstTokenAt: null, producedTokens: 0, answerTokens: 0 };
    this.#openRequests.set(request.id, open);
  }

  #beginAttempt(attemptId: string, requestId: string): void {
    const open = this.#openRequests.get(requestId);
    if (open !== undefined) this.#requestsByAttempt.set(attemptId, open);
  }

  #addTokens(attemptId: string, count: number, now: number): void {
    const open = this.#requestsByAttempt.get(attemptId);
    if (open === undefined) return;
    open.firstTokenAt ??= now;
    open.producedTokens += count;
  }

  #endAttempt(attemptId: string, end: { kind: string; outputTokens?: number }): void {
    const open = this.#requestsByAttempt.get(attemptId);
    if (open === undefined) return;
    this.#requestsByAttempt.delete(attemptId);
    open.answerTokens = end.outputTokens ?? 0;
  }

  #endRequest(requestId: string, outcome: EndedRequest['outcome'], now: number): void {
    const open = this.#openRequests.get(requestId);
    if (open === undefined) return;
    this.#openRequests.delete(requestId);
    const { request, ...progress } = open;
    // A class removed from the table while its request ran has no target to compare with.
    const row = findClass(this.#core.table, request.classId);
    if (row === undefined) return;
    const ended: EndedRequest = { ...request, ...progress, outcome, endedAt: now };
    const record = this.#getOrCreateRecord(request.classId);
    addToSlot(record.window.valueAt(now), ended, row.target);
    addToCounts(record.total, ended, row.target);
  }

  #getOrCreateRecord(classId: string): ClassRecord {
    let record = this.#classes.get(classId);
    if (record === undefined) {
      record = {
        window: new SlidingWindow(createSlot, SLOT_MS, SLOT_COUNT),
        total: createCounts(),
      };
      this.#classes.set(classId, record);
    }
    return record;
  }
}
