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
const SLOTS = 6;

/** Length of the sliding window, in milliseconds. */
export const WINDOW_MS = SLOT_MS * SLOTS;

interface OpenRequest {
  readonly request: Request;
  firstTokenAt: number | null;
  producedTokens: number;
  answerTokens: number;
}

interface ClassRecord {
  readonly window: SlidingWindow<ClassSlot>;
  readonly total: ClassCounts;
}

/** The task that watches what passes the decider and keeps each class's attainment now. */
export class Attainment {
  readonly #core: Core;

  readonly #open = new Map<string, OpenRequest>();

  readonly #byAttempt = new Map<string, OpenRequest>();

  readonly #classes = new Map<string, ClassRecord>();

  constructor(core: Core) {
    this.#core = core;
  }

  /** Takes in a message and the actions that it led to. Hot path: one call a token. */
  watch(message: Message, actions: readonly Action[], now: number): void {
    if (message.kind === 'tokens-arrived') {
      this.#addTokens(message.attemptId, message.count, now);
      return;
    }
    if (message.kind === 'request-arrived') this.#begin(message.request);
    if (message.kind === 'attempt-ended') this.#endAttempt(message.attemptId, message.end);
    for (const action of actions) {
      if (action.kind === 'dispatch') this.#beginAttempt(action.attempt.id, action.request.id);
      if (action.kind === 'request-ended') this.#end(action.requestId, action.outcome, now);
    }
  }

  /** Returns the figures of a class over the window. */
  figures(classId: string, now: number): ClassFigures {
    return summarizeSlots(this.#classes.get(classId)?.window.within(now) ?? []);
  }

  /** Returns the counts of a class since start. */
  totals(classId: string): Readonly<ClassCounts> {
    return this.#classes.get(classId)?.total ?? createCounts();
  }

  /** Counts the requests of each class that have no final answer yet. */
  countOpen(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const { request } of this.#open.values()) {
      counts.set(request.classId, (counts.get(request.classId) ?? 0) + 1);
    }
    return counts;
  }

  #begin(request: Request): void {
    const open = { request, firstTokenAt: null, producedTokens: 0, answerTokens: 0 };
    this.#open.set(request.id, open);
  }

  #beginAttempt(attemptId: string, requestId: string): void {
    const open = this.#open.get(requestId);
    if (open !== undefined) this.#byAttempt.set(attemptId, open);
  }

  #addTokens(attemptId: string, count: number, now: number): void {
    const open = this.#byAttempt.get(attemptId);
    if (open === undefined) return;
    open.firstTokenAt ??= now;
    open.producedTokens += count;
  }

  #endAttempt(attemptId: string, end: { kind: string; outputTokens?: number }): void {
    const open = this.#byAttempt.get(attemptId);
    if (open === undefined) return;
    this.#byAttempt.delete(attemptId);
    open.answerTokens = end.outputTokens ?? 0;
  }

  #end(requestId: string, outcome: EndedRequest['outcome'], now: number): void {
    const open = this.#open.get(requestId);
    if (open === undefined) return;
    this.#open.delete(requestId);
    const { request, ...progress } = open;
    // A class that left the table while its request ran has no target to be judged by.
    const row = findClass(this.#core.table, request.classId);
    if (row === undefined) return;
    const ended: EndedRequest = { ...request, ...progress, outcome, endedAt: now };
    const record = this.#recordOf(request.classId);
    addToSlot(record.window.current(now), ended, row.target);
    addToCounts(record.total, ended, row.target);
  }

  #recordOf(classId: string): ClassRecord {
    let record = this.#classes.get(classId);
    if (record === undefined) {
      record = { window: new SlidingWindow(createSlot, SLOT_MS, SLOTS), total: createCounts() };
      this.#classes.set(classId, record);
    }
    return record;
  }
}
