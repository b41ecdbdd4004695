import type { ServerResponse } from 'node:http';

import {
  addToBacklog,
  createBacklog,
  removeFromBacklog,
  takeFromBacklog,
  takeOverdue,
  type BacklogEntry,
  type Random,
} from '@filbertlatch/core';

import { now } from '../clock.js';
import type { AdmittedRequest } from './admitRequest.js';
import type { CallerConnections } from './callerConnections.js';
import { MAX_UNREAD_AGE_MS, type LoopDelay } from './loopDelay.js';

/** Time of one turn of the loop that goes into beginning requests. */
const MAX_BEGIN_MS = 20;

/**
 * Time that answers take of a turn above which less goes into beginning requests, and above which only
 * one begins: open requests need the time.
 */
const MUCH_WORK_MS = 20;
const MAX_WORK_MS = 40;

/** The same while connections may have waited for longer: each turn accepts only one. */
const MAX_ACCEPTING_BEGIN_MS = 5;
const MAX_ACCEPT_DELAY_MS = 100;

/** Fraction of the latency target within which a request must begin. */
const MAX_TARGET_FRACTION = 0.5;

/** Fraction of the time left within which it must begin, and one that was read too late for its target. */
const MAX_REMAINING_FRACTION = 0.5;
const MAX_LATE_REMAINING_FRACTION = 0.85;

/** Retry delay told to callers that are refused; drawn, so that they do not return together. */
const MIN_RETRY_AFTER_MS = 50;
const RETRY_AFTER_SPREAD_MS = 100;

/** What becomes of an admitted request. */
export interface IntakeObserver {
  /** Says whether its caller has left. */
  hasLeft(): boolean;
  /** Sends it to an endpoint. */
  begin(): void;
  /** Refuses it; it has not run. */
  refuse(retryAfterMs: number): void;
  /** Called instead when its caller leaves before it begins. */
  forget(): void;
}

/**
 * Begins requests that have been read: at once while this process is on time, otherwise those first
 * that are most urgent, of each account in turn, and none that it cannot begin in time.
 */
export class IntakeTask {
  readonly #loopDelay: LoopDelay;

  readonly #callers: CallerConnections;

  readonly #random: Random;

  readonly #backlog = createBacklog();

  #isPumping = false;

  /** Turn in which requests were last begun, and the time that went into it. */
  #turn = -1;

  #begunMs = 0;

  #begunCount = 0;

  constructor(loopDelay: LoopDelay, callers: CallerConnections, random: Random) {
    this.#loopDelay = loopDelay;
    this.#callers = callers;
    this.#random = random;
  }

  /** Number of requests that wait. */
  get size(): number {
    return this.#backlog.size;
  }

  /** Begins a request now or later, or refuses it; forgets it when its caller leaves before. */
  accept(
    admitted: AdmittedRequest,
    bytes: number,
    response: ServerResponse,
    observer: IntakeObserver,
  ): void {
    const { earliestAt, readAt } = admitted.arrival;
    const decide = () => {
      if (observer.hasLeft()) observer.forget();
      else this.#decide(admitted, bytes, response, observer);
    };
    // A close of the caller may stand behind a request that came so long ago.
    if (readAt - earliestAt > MAX_UNREAD_AGE_MS) this.#loopDelay.afterPoll(decide);
    else decide();
  }

  #decide(
    { accountId, arrival, deadlineAt, job }: AdmittedRequest,
    bytes: number,
    response: ServerResponse,
    observer: IntakeObserver,
  ): void {
    const begin = () => {
      if (observer.hasLeft()) observer.forget();
      else this.#spend(() => observer.begin());
    };
    const refuse = () => observer.refuse(this.#drawRetryAfterMs());
    if (this.#backlog.size === 0 && this.#hasTime()) {
      begin();
      return;
    }
    const instant = now();
    const remainingMs = deadlineAt - instant;
    const onTimeMs = job.targetMs * MAX_TARGET_FRACTION;
    const isLate = instant - arrival.earliestAt > onTimeMs;
    const longestMs = isLate
      ? remainingMs * MAX_LATE_REMAINING_FRACTION
      : Math.min(onTimeMs, remainingMs * MAX_REMAINING_FRACTION);
    const { priority } = job;
    const beginBy = instant + longestMs;
    const entry: BacklogEntry = { priority, accountId, bytes, beginBy, isLate, begin, refuse };
    if (!addToBacklog(this.#backlog, entry, instant)) {
      refuse();
      return;
    }
    response.once('close', () => {
      const hasWaited = removeFromBacklog(this.#backlog, entry);
      // One that was answered when the drain ended was not left by its caller.
      if (hasWaited && !response.writableFinished) observer.forget();
    });
    this.#schedule();
  }

  #hasTime(): boolean {
    const { isBehind, latestWorkMs, turnCount } = this.#loopDelay;
    if (isBehind) return false;
    if (turnCount !== this.#turn) {
      this.#turn = turnCount;
      this.#begunMs = 0;
      this.#begunCount = 0;
    }
    if (this.#begunCount === 0) return true;
    const isAccepting = this.#callers.acceptDelayMs > MAX_ACCEPT_DELAY_MS;
    const maxMs = isAccepting ? MAX_ACCEPTING_BEGIN_MS : MAX_BEGIN_MS;
    const spareFraction = (MAX_WORK_MS - latestWorkMs) / (MAX_WORK_MS - MUCH_WORK_MS);
    return this.#begunMs < maxMs * Math.min(1, spareFraction);
  }

  #spend(begin: () => void): void {
    const startedAt = now();
    this.#begunCount += 1;
    begin();
    this.#begunMs += now() - startedAt;
  }

  #schedule(): void {
    if (this.#isPumping) return;
    this.#isPumping = true;
    this.#loopDelay.markTurn();
    // After a poll, which reads what callers have sent since, a close among it.
    setImmediate(() => {
      this.#isPumping = false;
      this.#pump();
    });
  }

  #pump(): void {
    this.#loopDelay.markTurn();
    takeOverdue(this.#backlog, now()).forEach(({ refuse }) => refuse());
    while (this.#backlog.size > 0 && this.#hasTime()) {
      takeFromBacklog(this.#backlog, now())!.begin();
    }
    if (this.#backlog.size > 0) this.#schedule();
  }

  #drawRetryAfterMs(): number {
    return MIN_RETRY_AFTER_MS + this.#random.next() * RETRY_AFTER_SPREAD_MS;
  }
}
