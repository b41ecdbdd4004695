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

/** Turns after that of its accept in which the first bytes of a connection are read at the latest. */
const MAX_TURNS_TO_READ = 2;

/** The accept of a connection. */
interface Accept {
  readonly turn: number;
  /** It did not wait before; epoch milliseconds. */
  readonly since: number;
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

  /** Connections that have brought no request yet. */
  readonly #accepted = new WeakMap<Socket, Accept>();

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
      this.#accepted.set(socket, this.#boundAccept());
      socket.once('end', () => this.#handleEnd(socket));
      socket.once('close', () => this.#handleEnd(socket));
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
    const { earliestArrivalAt, turnCount } = this.#loopDelay;
    const accept = this.#accepted.get(socket);
    this.#accepted.delete(socket);
    // Bytes that were there when the connection was accepted are read in the next turn.
    const wasThere = accept !== undefined && turnCount - accept.turn <= MAX_TURNS_TO_READ;
    return { readAt: now(), earliestAt: wasThere ? accept.since : earliestArrivalAt };
  }

  #handleEnd(socket: Socket): void {
    this.#left.add(socket);
    this.#leaveCallbacks.get(socket)?.forEach((callback) => callback());
  }

  /** The loop accepts one connection a turn; others wait until a turn has none, or it is idle. */
  #boundAccept(): Accept {
    const { earliestArrivalAt, idleMs, turnCount: turn } = this.#loopDelay;
    const run = this.#acceptRun;
    const since = run !== null && this.#goesOn(run) ? run.since : earliestArrivalAt;
    this.#acceptRun = { turn, idleMs, since };
    return { turn, since };
  }

  #goesOn({ idleMs, turn }: AcceptRun): boolean {
    return this.#loopDelay.idleMs === idleMs && this.#loopDelay.turnCount - turn <= 1;
  }
}
