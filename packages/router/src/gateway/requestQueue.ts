import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Requests that may wait on all connections of a server; each takes some 2 KB. */
const MAX_WAITING = 4096;

/** Requests that wait on a connection from which on it is not read. */
const MIN_HELD = 2;

const followedSockets = new WeakSet<Socket>();

/** Says whether a further request of a connection waits for the answer to the one in progress. */
export function hasWaitingRequests(socket: Socket | null): boolean {
  return socket !== null && followedSockets.has(socket);
}

/** The runtime resumes a connection at the end of each request that it has read. */
function pause(this: Socket): void {
  this.pause();
}

/** A request that waits for the answer to the one before it. */
interface WaitingRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/**
 * Begins the requests of each connection one after the other. A caller that sends further ones without
 * waiting for its answers is not read from until those that have been read are begun; beyond the limit
 * of all, the connection with the most is closed.
 */
export class RequestQueue {
  readonly #begin: RequestListener;

  readonly #noteWait: (request: IncomingMessage) => void;

  /** Connections with a request in progress. */
  readonly #busy = new WeakSet<Socket>();

  readonly #waiting = new Map<Socket, WaitingRequest[]>();

  #waitingCount = 0;

  readonly #releaseClosed: (this: Socket) => void;

  /** `noteWait` is called for each request that has to wait. */
  constructor(begin: RequestListener, noteWait: (request: IncomingMessage) => void = () => {}) {
    this.#begin = begin;
    this.#noteWait = noteWait;
    const release = (socket: Socket) => this.#release(socket);
    this.#releaseClosed = function releaseClosed() {
      release(this);
    };
  }

  /** Begins a request once those before it on its connection are answered. */
  add(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    if (!this.#busy.has(socket)) {
      this.#start(socket, { request, response });
      return;
    }
    // What is left of a read is parsed even so.
    if (socket.destroyed) return;
    const waiting = this.#waiting.get(socket) ?? this.#createList(socket);
    waiting.push({ request, response });
    this.#noteWait(request);
    this.#waitingCount += 1;
    // A single one may have come with the end of the answer before it.
    if (waiting.length === MIN_HELD) socket.on('resume', pause).pause();
    if (this.#waitingCount > MAX_WAITING) this.#closeLongest();
  }

  #createList(socket: Socket): WaitingRequest[] {
    const waiting: WaitingRequest[] = [];
    this.#waiting.set(socket, waiting);
    followedSockets.add(socket);
    socket.on('close', this.#releaseClosed);
    return waiting;
  }

  #release(socket: Socket): void {
    this.#waitingCount -= this.#waiting.get(socket)?.length ?? 0;
    this.#waiting.delete(socket);
    followedSockets.delete(socket);
    socket.off('resume', pause).off('close', this.#releaseClosed);
  }

  #start(socket: Socket, { request, response }: WaitingRequest): void {
    this.#busy.add(socket);
    response.once('close', () => this.#end(socket));
    this.#begin(request, response);
  }

  #end(socket: Socket): void {
    const waiting = this.#waiting.get(socket)?.length ?? 0;
    if (waiting === 0) this.#busy.delete(socket);
    else if (waiting < MIN_HELD) this.#startNext(socket);
    // In a turn of its own, so that other connections are read meanwhile.
    else setImmediate(() => this.#startNext(socket));
  }

  #startNext(socket: Socket): void {
    const waiting = this.#waiting.get(socket);
    const next = waiting?.shift();
    if (next === undefined) return;
    this.#waitingCount -= 1;
    if (waiting!.length === 0) {
      this.#release(socket);
      socket.resume();
    }
    this.#start(socket, next);
  }

  #closeLongest(): void {
    const [[socket]] = [...this.#waiting].sort(([, a], [, b]) => b.length - a.length) as [
      [Socket, WaitingRequest[]],
    ];
    this.#release(socket);
    socket.destroy();
  }
}
