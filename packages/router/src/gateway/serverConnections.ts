import type { Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** What is known of a connection. */
interface Usage {
  /** Responses that are not written to their end. */
  responses: number;
  /** Bytes read up to the end of the last request and its response. */
  answeredBytes: number;
}

/** The connections of a server, and which of them have a request or a response that is not complete. */
export class ServerConnections {
  readonly #usages = new Map<Socket, Usage>();

  /** Number of open connections. */
  get count(): number {
    return this.#usages.size;
  }

  /** True while a connection without such a response has a part of a request's head. */
  get isReading(): boolean {
    return [...this.#usages].some(([socket, usage]) => ServerConnections.#isRead(socket, usage));
  }

  /** True while a response of a connection is not written to its end. */
  isAnswering(socket: Socket): boolean {
    return (this.#usages.get(socket)?.responses ?? 0) > 0;
  }

  /** Watches the connections of a server. */
  watch(server: Server): void {
    server.on('connection', (socket: Socket) => {
      this.#usages.set(socket, { responses: 0, answeredBytes: 0 });
      socket.once('close', () => this.#usages.delete(socket));
    });
  }

  /** Counts a response until all of it is written, or its connection is lost. */
  add(socket: Socket, response: ServerResponse): void {
    const usage = this.#usages.get(socket);
    if (usage === undefined) return;
    usage.responses += 1;
    const recordEnd = () => {
      usage.answeredBytes = socket.bytesRead;
    };
    // The body of a request that was refused early may be read after its response.
    response.req.once('close', recordEnd);
    response.once('close', () => {
      usage.responses -= 1;
      recordEnd();
    });
  }

  /** Closes the connections that have no such response, and no part of a request's head. */
  endIdle(): void {
    this.#usages.forEach((usage, socket) => {
      if (usage.responses === 0 && !ServerConnections.#isRead(socket, usage)) socket.end();
    });
  }

  /** Closes the connections that have no such response. */
  endUnanswered(): void {
    this.#usages.forEach(({ responses }, socket) => {
      if (responses === 0) socket.end();
    });
  }

  static #isRead(socket: Socket, { responses, answeredBytes }: Usage): boolean {
    return responses === 0 && !socket.writableEnded && socket.bytesRead > answeredBytes;
  }
}
