import {
  createLoopDelayState,
  listenedMs,
  listenedSince,
  recordBeat,
  recordTurn,
  unreadAgeMs,
  type LoopDelayState,
  type LoopTurn,
} from '@filbertlatch/core';

import { now } from '../clock.js';

/**
 * Age that unread bytes may have while requests are sent; the close of a caller is among them. Half a
 * second after it no endpoint may get the request.
 */
export const MAX_UNREAD_AGE_MS = 300;

/** Returns the time that the loop has spent waiting for events, in milliseconds. */
function readIdleMs(): number {
  return performance.nodeTiming.idleTime;
}

/**
 * Tells how late this process is. Between two polls the loop reads nothing: what has arrived meanwhile
 * looks as if it came later, or not at all.
 */
export class LoopDelay {
  readonly #state: LoopDelayState;

  readonly #readIdleMs: () => number;

  /** To be called once the process is on time again. */
  #waiting: (() => void)[] = [];

  #isTurnMarked = false;

  #isStopped = false;

  #turnCount = 0;

  #workMs = 0;

  #latestWorkMs = 0;

  #longestTurnMs = 0;

  /** `getIdleMs` returns the idle time of the loop so far. */
  constructor(getIdleMs = readIdleMs) {
    this.#readIdleMs = getIdleMs;
    this.#state = createLoopDelayState(this.#createTurn());
  }

  /** Upper bound of the age of what waits in sockets or is read now, in milliseconds. */
  get unreadAgeMs(): number {
    return unreadAgeMs(this.#state, this.#createTurn());
  }

  /** Lower bound of the time at which bytes arrived that are read now; epoch milliseconds. */
  get earliestArrivalAt(): number {
    const turn = this.#createTurn();
    return turn.at - unreadAgeMs(this.#state, turn);
  }

  /** Number of turns so far in which bytes were read. */
  get turnCount(): number {
    return this.#turnCount;
  }

  /** Time that answers took in the latest turn, in milliseconds. */
  get latestWorkMs(): number {
    return this.#latestWorkMs;
  }

  /** Adds time that bytes of an answer took in this turn, in milliseconds. */
  addWork(ms: number): void {
    this.#workMs += ms;
  }

  /** True when a close that is unread may be older than requests are sent after one. */
  get isBehind(): boolean {
    return this.unreadAgeMs > MAX_UNREAD_AGE_MS;
  }

  /** Time that the loop has spent waiting for events so far, in milliseconds. */
  get idleMs(): number {
    return this.#readIdleMs();
  }

  /** Returns the time since an instant in which this process listened, in milliseconds. */
  listenedMs(since: number): number {
    return this.#isStopped ? now() - since : listenedMs(this.#state, since, now());
  }

  /** Returns the instant since which this process has listened for a time, in milliseconds. */
  listenedSince(forMs: number): number {
    return listenedSince(this.#state, forMs, now());
  }

  /** Notes that bytes are read in this turn of the loop. */
  markTurn(): void {
    if (this.#isTurnMarked) return;
    this.#isTurnMarked = true;
    setImmediate(() => this.#endTurn());
  }

  /** Ends the heartbeats: their absence is no standstill from now on. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Records a heartbeat; returns the length of a standstill that it ends, in milliseconds. */
  beat(): number {
    this.markTurn();
    return recordBeat(this.#state, now());
  }

  /** Returns the longest turn since the last call, in milliseconds. */
  takeLongestTurnMs(): number {
    const longestMs = this.#longestTurnMs;
    this.#longestTurnMs = 0;
    return longestMs;
  }

  /** Calls back once the process is on time: now, or after it has read what waits in its sockets. */
  whenOnTime(callback: () => void): void {
    if (!this.isBehind) {
      callback();
      return;
    }
    this.#waiting.push(callback);
    this.markTurn();
  }

  /** Calls back once the sockets have been polled, however late this process is. */
  afterPoll(callback: () => void): void {
    this.markTurn();
    // The first is called in this turn, the second after the next poll.
    setImmediate(() => {
      this.markTurn();
      setImmediate(callback);
    });
  }

  #createTurn(): LoopTurn {
    return { at: now(), idleMs: this.#readIdleMs() };
  }

  #recordTurn(): void {
    const turn = this.#createTurn();
    const { latest } = this.#state;
    const turnMs = turn.at - latest.at - (turn.idleMs - latest.idleMs);
    this.#longestTurnMs = Math.max(this.#longestTurnMs, turnMs);
    this.#latestWorkMs = this.#workMs;
    this.#workMs = 0;
    recordTurn(this.#state, turn);
  }

  #endTurn(): void {
    this.#isTurnMarked = false;
    this.#turnCount += 1;
    // Only here, once between two polls: the age of what is unread counts from the mark before the last.
    this.#recordTurn();
    if (this.#waiting.length === 0) return;
    // Before what the callbacks schedule for the end of the next turn, which asks for its age.
    this.markTurn();
    if (this.isBehind) return;
    const waiting = this.#waiting;
    this.#waiting = [];
    waiting.forEach((callback) => this.whenOnTime(callback));
  }
}
