import type { Socket } from 'node:net';

import { Client, type buildConnector, type Dispatcher } from 'undici';

/** Bytes of an answer besides its body that are accepted: its head, frames of chunks, trailers. */
const MAX_OVERHEAD_BYTES = 65_536;

/**
 * Bytes of frame that are accepted for each byte of the body; a chunk of a stream may hold a single
 * one.
 */
const MAX_STREAM_FRAME_FACTOR = 8;

/** Above what the guard accepts, so that the parser does not report each further header. */
const MAX_PARSED_HEAD_BYTES = 1_048_576;

/** A handler that is told on which connection its request is sent, and when the other end closes its side. */
export interface GuardedHandler extends Dispatcher.DispatchHandler {
  /** `isNew` is true for the first request on the connection, which `client` owns. */
  onConnection?(isNew: boolean, client: GuardedClient): void;
  /**
   * The other end has closed its side within an answer. Returns true to keep the connection half open and
   * have the answer end when `release` is called.
   */
  onHalfClose?(release: () => void): boolean;
}

/**
 * A socket that resets its connection when it is destroyed. `resetAndDestroy` shuts the connection
 * down first, which waits for unsent bytes and destroys the socket without an error, an end to the parser.
 */
interface ResettableSocket extends Socket {
  resetAndClosing?: boolean;
}

/** An endpoint sends bytes that do not make an answer. */
export class EndlessAnswerError extends Error {
  override readonly name = 'EndlessAnswerError';

  constructor() {
    super('too many bytes besides the body of an answer');
  }
}

/**
 * Lets the client fail the answer of a connection that is reset. By its code it would take the reset
 * for an end, which its parser throws at while it is paused.
 */
function hideReset(error: NodeJS.ErrnoException): void {
  if (error.code === 'ECONNRESET') Object.assign(error, { code: 'CONNECTION_RESET' });
}

/**
 * Watches a connection: closes it when an endpoint sends more bytes than an answer may have, and
 * lets the parser see an end that comes while an answer is paused.
 */
class ConnectionGuard {
  readonly #maxFrameFactor: number;

  #socket: Socket | null = null;

  #bytesBefore = 0;

  #bodyBytes = 0;

  #isNew = true;

  /** Resumes the paused answer; null while none is paused. */
  #resume: (() => void) | null = null;

  /** Handler of the answer that is being read; null without one. */
  #answering: GuardedHandler | null = null;

  constructor(maxFrameFactor: number) {
    this.#maxFrameFactor = maxFrameFactor;
  }

  /** Begins to watch a new connection. */
  attach(socket: Socket): void {
    this.#socket = socket;
    this.#isNew = true;
    this.#begin();
    // Before the parser reads, so that it gets no more than one block too many.
    socket.prependListener('readable', () => this.#check(socket));
    // The parser throws at the end of a connection while it is paused; there is nothing to hold back.
    socket.prependListener('end', () => this.#resume?.());
    socket.prependListener('error', hideReset);
    this.#interceptEnd(socket);
  }

  /** Lets the handler hold back the end of its answer, at which the client would destroy the socket. */
  #interceptEnd(socket: Socket): void {
    const emit = socket.emit.bind(socket) as (...event: unknown[]) => boolean;
    const release = () => {
      if (!socket.destroyed) emit('end');
    };
    const intercept = (...event: unknown[]) => {
      if (event[0] !== 'end' || this.#answering?.onHalfClose?.(release) !== true) {
        return emit(...event);
      }
      // Otherwise the runtime closes this side, too.
      Object.assign(socket, { allowHalfOpen: true });
      return true;
    };
    Object.assign(socket, { emit: intercept });
  }

  /** Returns a handler that also counts the bytes of the body and knows when it is paused. */
  watch(handler: GuardedHandler, client: GuardedClient): Dispatcher.DispatchHandler {
    let isOver = false;
    let resume = () => {};
    return {
      ...handler,
      onHeaders: (status, headers, resumeParser, statusText) => {
        this.#answering = handler;
        resume = () => {
          // The connection may have another answer by now.
          if (isOver) return;
          this.#resume = null;
          resumeParser();
        };
        return handler.onHeaders?.(status, headers, resume, statusText) ?? true;
      },
      onConnect: (abort) => {
        this.#begin();
        handler.onConnection?.(this.#isNew, client);
        // Throws when the request is not sent after all.
        handler.onConnect?.(abort);
        this.#isNew = false;
      },
      onData: (chunk) => {
        // The parser passes on nothing when it is resumed without further bytes.
        if (chunk.length === 0) return true;
        this.#bodyBytes += chunk.length;
        const isRead = handler.onData?.(chunk) ?? true;
        if (!isRead) this.#resume = resume;
        return isRead;
      },
      onComplete: (trailers) => {
        isOver = true;
        this.#answering = null;
        handler.onComplete?.(trailers);
      },
      onError: (error) => {
        isOver = true;
        this.#answering = null;
        handler.onError?.(error);
      },
    };
  }

  /** Makes the connection drop what the other end does not have yet when it is destroyed. */
  dropUnsent(): void {
    const socket: ResettableSocket | null = this.#socket;
    // The runtime cannot reset a connection that is being shut down.
    if (socket?.writable === true) socket.resetAndClosing = true;
  }

  /** Calls back once the operating system has all bytes that were written so far. */
  whenWritten(callback: () => void): void {
    const socket = this.#socket;
    if (socket === null || socket.destroyed) return;
    if (socket.writableLength === 0) callback();
    else {
      socket.write('', (error) => {
        if (!error) callback();
      });
    }
  }

  #begin(): void {
    this.#bytesBefore = this.#socket?.bytesRead ?? 0;
    this.#bodyBytes = 0;
    this.#resume = null;
  }

  #check(socket: Socket): void {
    if (socket !== this.#socket) return;
    const parsedBytes = socket.bytesRead - socket.readableLength - this.#bytesBefore;
    const overheadBytes = parsedBytes - this.#bodyBytes;
    if (overheadBytes > MAX_OVERHEAD_BYTES + this.#maxFrameFactor * this.#bodyBytes) {
      // What has arrived already is not parsed either.
      while (socket.read() !== null);
      socket.destroy(new EndlessAnswerError());
    }
  }
}

/** A client of one connection that is closed when an endpoint sends bytes without end. */
export class GuardedClient extends Client {
  readonly #guard: ConnectionGuard;

  /** `maxFrameFactor` is the number of bytes of frame that are accepted for each byte of a body. */
  constructor(
    origin: URL,
    options: Client.Options,
    connect: buildConnector.connector,
    maxFrameFactor = MAX_STREAM_FRAME_FACTOR,
  ) {
    const guard = new ConnectionGuard(maxFrameFactor);
    super(origin, {
      ...options,
      maxHeaderSize: MAX_PARSED_HEAD_BYTES,
      connect: (target, callback) => {
        connect(target, (...result) => {
          // A connection that cannot be opened has no socket.
          if (result[0] === null) guard.attach(result[1]);
          callback(...result);
        });
      },
    });
    this.#guard = guard;
  }

  /** Makes the connection drop what the other end does not have yet when it is destroyed. */
  dropUnsent(): void {
    this.#guard.dropUnsent();
  }

  /** Calls back once the operating system has all bytes that were written so far. */
  whenWritten(callback: () => void): void {
    this.#guard.whenWritten(callback);
  }

  override dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    return super.dispatch(options, this.#guard.watch(handler, this));
  }
}
