import type { Server } from 'node:http';
import type { Socket } from 'node:net';

import { now } from '../clock.js';
import type { LoopDelay } from './loopDelay.js';

/** When a request came, as far as this process can tell. */
export interface Arrival {
  /** Time at which its headers were read; epoch milliseconds. */
  readonly readAt: number;
  /** It did not come before; epoch milliseconds. */
  readonly earliestAt: number;
}

/** Connections accepted in one turn after the other, of which more may wait. */
interface AcceptRun {
  /** Turn of the latest. */
  turn: number;
  idleMs: number;
  /** None of them waited before; epoch milliseconds. */
  readonly since: number;
}

/** Connections of callers: bounds when requests came, and knows who has left. */
export class CallerConnections {
  readonly #loopDelay: LoopDelay;

  #acceptRun: AcceptRun | null = null;

  /** Earliest time of the first bytes on connections that have brought no request yet. */
  readonly #acceptedFrom = new WeakMap<Socket, number>();

  /** Connections whose callers have closed them; the runtime reports it some turns later. */
  readonly #left = new WeakSet<Socket>();

  readonly #leaveCallbacks = new WeakMap<Socket, Set<() => void>>();

  constructor(loopDelay: LoopDelay) {
    this.#loopDelay = loopDelay;
  }

  /** Watches the connections of a server: the first request may be there when one is accepted. */
  watch(server: Server): void {
    server.on('connection', (socket: Socket) => {
      this.#loopDelay.markTurn();
      this.#acceptedFrom.set(socket, this.#boundAccept());
      socket.once('end', () => this.#handleEnd(socket));
    });
  }

  /** Calls back when the caller closes the connection; returns a function that ends this. */
  onLeave(socket: Socket, callback: () => void): () => void {
    const callbacks = this.#leaveCallbacks.get(socket) ?? new Set();
    this.#leaveCallbacks.set(socket, callbacks.add(callback));
    return () => callbacks.delete(callback);
  }

  /** Time for which connections may have waited to be accepted, in milliseconds. */
  get acceptDelayMs(): number {
    const run = this.#acceptRun;
    return run !== null && this.#goesOn(run) ? now() - run.since : 0;
  }

  /** True when the caller has closed the connection. */
  hasLeft(socket: Socket): boolean {
    return socket.destroyed || this.#left.has(socket);
  }

  /** Bounds the arrival of a request whose headers have just been read. */
  readArrival(socket: Socket): Arrival {
    this.#loopDelay.markTurn();
    const earliestAt = this.#acceptedFrom.get(socket) ?? this.#loopDelay.earliestArrivalAt;
    this.#acceptedFrom.delete(socket);
    return { readAt: now(), earliestAt };
  }

  #handleEnd(socket: Socket): void {
    this.#left.add(socket);
    this.#leaveCallbacks.get(socket)?.forEach((callback) => callback());
  }

  /** The loop accepts one connection a turn; others wait until a turn has none, or it is idle. */
  #boundAccept(): number {
    const { earliestArrivalAt, idleMs, turnCount: turn } = this.#loopDelay;
    const run = this.#acceptRun;
    const since = run !== null && this.#goesOn(run) ? run.since : earliestArrivalAt;
    this.#acceptRun = { turn, idleMs, since };
    return since;
  }

  #goesOn({ idleMs, turn }: AcceptRun): boolean {
    return this.#loopDelay.idleMs === idleMs && this.#loopDelay.turnCount - turn <= 1;
  }
}
