import type { Socket } from 'node:net';

import { Client, type buildConnector, type Dispatcher } from 'undici';

/** Bytes of an answer besides its body that are accepted: its head, frames of chunks, trailers. */
const MAX_OVERHEAD_BYTES = 65_536;

/** Bytes of frame that are accepted for each byte of the body; a chunk may hold a single one. */
const MAX_FRAME_FACTOR = 8;

/** Above what the meter accepts, so that the parser does not report each further header. */
const MAX_PARSED_HEAD_BYTES = 1_048_576;

/** An endpoint sends bytes that do not make an answer. */
export class EndlessAnswerError extends Error {
  override readonly name = 'EndlessAnswerError';

  constructor() {
    super('too many bytes besides the body of an answer');
  }
}

/** Closes a connection on which an endpoint sends more bytes than an answer may have. */
class AnswerMeter {
  #socket: Socket | null = null;

  #bytesBefore = 0;

  #bodyBytes = 0;

  /** Begins to watch a new connection. */
  attach(socket: Socket): void {
    this.#socket = socket;
    this.#begin();
    // Before the parser reads, so that it gets no more than one block too many.
    socket.prependListener('readable', () => this.#check(socket));
  }

  /** Returns a handler that also counts the bytes of the bodies. */
  watch(handler: Dispatcher.DispatchHandler): Dispatcher.DispatchHandler {
    return {
      ...handler,
      onConnect: (abort) => {
        this.#begin();
        handler.onConnect?.(abort);
      },
      onData: (chunk) => {
        this.#bodyBytes += chunk.length;
        return handler.onData?.(chunk) ?? true;
      },
    };
  }

  #begin(): void {
    this.#bytesBefore = this.#socket?.bytesRead ?? 0;
    this.#bodyBytes = 0;
  }

  #check(socket: Socket): void {
    if (socket !== this.#socket) return;
    const parsedBytes = socket.bytesRead - socket.readableLength - this.#bytesBefore;
    const overheadBytes = parsedBytes - this.#bodyBytes;
    if (overheadBytes > MAX_OVERHEAD_BYTES + MAX_FRAME_FACTOR * this.#bodyBytes) {
      // What has arrived already is not parsed either.
      while (socket.read() !== null);
      socket.destroy(new EndlessAnswerError());
    }
  }
}

/** A client of one connection that is closed when an endpoint sends bytes without end. */
export class MeteredClient extends Client {
  readonly #meter: AnswerMeter;

  constructor(origin: URL, options: Client.Options, connect: buildConnector.connector) {
    const meter = new AnswerMeter();
    super(origin, {
      ...options,
      maxHeaderSize: MAX_PARSED_HEAD_BYTES,
      connect: (target, callback) => {
        connect(target, (...result) => {
          // A connection that cannot be opened has no socket.
          if (result[0] === null) meter.attach(result[1]);
          callback(...result);
        });
      },
    });
    this.#meter = meter;
  }

  override dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    return super.dispatch(options, this.#meter.watch(handler));
  }
}
