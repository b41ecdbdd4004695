import diagnostics from 'node:diagnostics_channel';
import type { Socket } from 'node:net';

/** Counts the payload bytes that this process sends and receives over TCP, on all sockets. */
export class SocketByteCounter {
  readonly #openSockets = new Set<Socket>();

  #closedSocketBytes = 0;

  /** Starts to count; sockets that are already open are not counted. */
  start(): void {
    diagnostics.subscribe('net.client.socket', (message) => this.#watch(message));
    diagnostics.subscribe('net.server.socket', (message) => this.#watch(message));
  }

  /** Returns the bytes sent and received so far. */
  total(): number {
    let total = this.#closedSocketBytes;
    this.#openSockets.forEach((socket) => {
      total += socket.bytesRead + socket.bytesWritten;
    });
    return total;
  }

  #watch(message: unknown): void {
    const { socket } = message as { socket: Socket };
    this.#openSockets.add(socket);
    socket.once('close', () => {
      this.#openSockets.delete(socket);
      this.#closedSocketBytes += socket.bytesRead + socket.bytesWritten;
    });
  }
}
