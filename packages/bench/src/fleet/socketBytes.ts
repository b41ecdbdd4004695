import diagnostics from 'node:diagnostics_channel';
import type { Socket } from 'node:net';

/** Counts what this process sends and receives over TCP, payload only, on every socket. */
export class SocketBytes {
  readonly #open = new Set<Socket>();

  #closed = 0;

  /** Starts to count; sockets that were open before are not seen. */
  start(): void {
    diagnostics.subscribe('net.client.socket', (message) => this.#watch(message));
    diagnostics.subscribe('net.server.socket', (message) => this.#watch(message));
  }

  /** Returns the bytes sent and received so far. */
  total(): number {
    let total = this.#closed;
    this.#open.forEach((socket) => {
      total += socket.bytesRead + socket.bytesWritten;
    });
    return total;
  }

  #watch(message: unknown): void {
    const { socket } = message as { socket: Socket };
    this.#open.add(socket);
    socket.once('close', () => {
      this.#open.delete(socket);
      this.#closed += socket.bytesRead + socket.bytesWritten;
    });
  }
}
