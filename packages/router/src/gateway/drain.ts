import type { ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { createRunTimeState, expectedLongestMs, recordRunTime } from '@filbertlatch/core';

import { now } from '../clock.js';

/** Retry delay told by a draining VM; short, because the next connection goes to another VM. */
export const DRAINING_RETRY_AFTER_MS = 50;

/**
 * Minimum drain: the load balancer sends connections until two readiness checks, a second apart,
 * have failed.
 */
const MIN_DRAIN_MS = 2800;

/** The drain ends this long before the process would be killed: a tenth of the grace, or what it takes. */
const KILL_MARGIN_FRACTION = 0.1;
const MIN_KILL_MARGIN_MS = 600;

/** Time for an answer to be read from its endpoint and written to its caller. */
const ANSWER_MARGIN_MS = 50;

/** Time in which the answers are written that requests get at the end of the drain. */
const LAST_ANSWERS_MS = 100;

/** Time for the connections that wait to be accepted when the grace period is over. */
const LAST_ACCEPTS_MS = 200;

/** Time in which callers see that their connections are closed. */
const CLOSING_MS = 150;

/** Interval at which the drain checks whether callers have. */
const CLOSING_CHECK_INTERVAL_MS = 10;

/** Interval at which the drain checks whether it is over. */
const CHECK_INTERVAL_MS = 100;

/** The server for callers, as a drain closes it. */
export interface DrainedServer {
  /** Number of its connections. */
  readonly connectionCount: number;
  /**
   * Accepts the connections that wait, for `maxMs` without standstills and until `latestAt` at most, and
   * stops listening; epoch milliseconds.
   */
  stopListening(latestAt: number, maxMs: number): Promise<void>;
  /** Resolves directly after what has arrived on its connections is read. */
  readArrived(): Promise<void>;
  /** True while a part of a request's head has been read. */
  readonly isReading: boolean;
  /** Closes the connections that have no request, no part of one and no answer to write. */
  endIdle(): void;
  /** Closes the connections that have no request in progress and no answer to write. */
  endUnanswered(): void;
}

/**
 * The planned stop of a gateway. It knows the open requests, refuses those that cannot end in time
 * before they are sent, and leaves none without an answer.
 */
export class Drain {
  readonly #graceMs: number;

  readonly #runTimes = createRunTimeState();

  /** Ends an open request with a true answer; by its response. */
  readonly #open = new Map<ServerResponse, () => void>();

  #startedAt: number | null = null;

  /** `graceMs` is the time from the stop signal until the process is killed. */
  constructor(graceMs: number) {
    this.#graceMs = graceMs;
  }

  /** Number of requests whose response is still open. */
  get openRequests(): number {
    return this.#open.size;
  }

  /** True when the load balancer should send no more connections: new requests are rejected. */
  get isRejecting(): boolean {
    return this.#startedAt !== null && now() >= this.#startedAt + MIN_DRAIN_MS;
  }

  /** Sets what ends an open request when the drain does, in place of what was set before. */
  setEnd(response: ServerResponse, end: () => void): void {
    if (!this.#open.has(response)) response.once('close', () => this.#open.delete(response));
    this.#open.set(response, end);
  }

  /** Records how long a request of a route was served, in milliseconds. */
  recordRunTime(routeId: string, ms: number): void {
    recordRunTime(this.#runTimes, routeId, ms);
  }

  /**
   * Says whether a request that is sent now probably ends before this process does; `deadlineAt` is
   * its deadline in epoch milliseconds.
   */
  canEnd(routeId: string, deadlineAt: number): boolean {
    if (this.#startedAt === null) return true;
    const leftMs = this.#endsAt - ANSWER_MARGIN_MS - now();
    const longestMs = Math.min(deadlineAt - now(), expectedLongestMs(this.#runTimes, routeId));
    return longestMs <= leftMs;
  }

  /**
   * Waits until the open requests have ended, or ends them when the grace period does; the signal to
   * stop came `elapsedMs` milliseconds ago.
   */
  async run(server: DrainedServer, elapsedMs = 0): Promise<void> {
    this.#startedAt = now() - elapsedMs;
    const isDone = () => this.#open.size === 0 && this.isRejecting;
    while (!isDone() && now() < this.#endsAt) {
      await sleep(Math.min(CHECK_INTERVAL_MS, this.#endsAt - now()));
    }
    this.#endOpen();
    // A connection that waits when the address no longer listens is reset, with its request.
    const latestAt = this.#killedAt - LAST_ANSWERS_MS - CLOSING_MS;
    const leftMs = Math.max(0, this.#endsAt - now());
    await server.stopListening(latestAt, leftMs + LAST_ACCEPTS_MS);
    // Until here what comes on a kept connection is read and refused.
    await sleep(LAST_ANSWERS_MS);
    await server.readArrived();
    this.#endOpen();
    server.endIdle();
    while (server.isReading && now() < this.#endsAt) await sleep(CLOSING_CHECK_INTERVAL_MS);
    await server.readArrived();
    this.#endOpen();
    server.endUnanswered();
    const closedAt = now() + CLOSING_MS;
    while (server.connectionCount > 0 && now() < closedAt) await sleep(CLOSING_CHECK_INTERVAL_MS);
  }

  #endOpen(): void {
    [...this.#open.values()].forEach((end) => end());
  }

  get #killedAt(): number {
    return (this.#startedAt ?? 0) + this.#graceMs;
  }

  get #endsAt(): number {
    return this.#killedAt - Math.max(MIN_KILL_MARGIN_MS, KILL_MARGIN_FRACTION * this.#graceMs);
  }
}
