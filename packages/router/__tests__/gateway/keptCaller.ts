import { once } from 'node:events';
import { connect, type Socket } from 'node:net';

const HEAD_END = '\r\n\r\n';
const LAST_CHUNK = '\r\n0\r\n\r\n';

/** A caller that sends one request after the other on one connection. */
export class KeptCaller {
  readonly #socket: Socket;

  #received = Buffer.alloc(0);

  #wake: (() => void) | null = null;

  /** How the connection ended; null while it is open. */
  end: string | null = null;

  private constructor(socket: Socket) {
    this.#socket = socket;
    socket.on('data', (bytes: Buffer) => {
      this.#received = Buffer.concat([this.#received, bytes]);
      this.#wake?.();
    });
    socket.on('end', () => {
      this.end ??= 'closed';
      this.#wake?.();
    });
    socket.on('error', (error: NodeJS.ErrnoException) => {
      this.end ??= error.code ?? error.message;
      this.#wake?.();
    });
  }

  /** Opens a connection; rejects when it is refused. */
  static async connect(address: string): Promise<KeptCaller> {
    const [host, port] = address.split(':');
    const socket = connect({ host, port: Number(port), noDelay: true, allowHalfOpen: true });
    await once(socket, 'connect');
    return new KeptCaller(socket);
  }

  /** Sends a request and waits for the whole answer; resolves with how the connection ended when none came. */
  async call(path = '/plain/'): Promise<string> {
    this.send(path);
    return this.readAnswer();
  }

  /** Sends a request. */
  send(path = '/plain/', id = 'r'): void {
    this.#socket.write(
      `POST ${path} HTTP/1.1\r\nHost: desk.example\r\nX-Key: right-key\r\nX-Request: ${id}\r\nX-Remaining: 9000\r\nContent-Length: 1\r\n\r\nx`,
    );
  }

  /** Reads an answer with a length or of chunks; resolves with its head, or with how the connection ended. */
  async readAnswer(): Promise<string> {
    for (;;) {
      const headLength = this.#received.indexOf(HEAD_END);
      const head = this.#received.subarray(0, Math.max(0, headLength)).toString('latin1');
      const [, bodyLength = '0'] = /^content-length: (\d+)/im.exec(head) ?? [];
      const length = /^transfer-encoding: chunked/im.test(head)
        ? this.#findEndOfChunks()
        : headLength + HEAD_END.length + Number(bodyLength);
      if (headLength >= 0 && this.#received.length >= length) {
        this.#received = this.#received.subarray(length);
        return head;
      }
      if (this.end !== null) return this.end;
      await new Promise<void>((resolve) => {
        this.#wake = resolve;
      });
    }
  }

  #findEndOfChunks(): number {
    const index = this.#received.indexOf(LAST_CHUNK);
    return index === -1 ? Infinity : index + LAST_CHUNK.length;
  }

  pause(): void {
    this.#socket.pause();
  }

  resume(): void {
    this.#socket.resume();
  }

  close(): void {
    this.#socket.destroy();
  }
}
