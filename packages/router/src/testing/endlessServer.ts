import { once } from 'node:events';
import { createServer, type AddressInfo, type Socket } from 'node:net';

/** An answer that goes on without end. */
export interface EndlessAnswer {
  readonly begin: string;
  readonly block: Buffer;
}

const BLOCK_BYTES = 65_536;
const OK_LINE = 'HTTP/1.1 200 OK\r\n';
const CHUNKED = `${OK_LINE}transfer-encoding: chunked\r\n\r\n`;
const PLAIN = `${OK_LINE}connection: close\r\n\r\n`;

const letters = Buffer.alloc(BLOCK_BYTES, 'a');
const headers = Buffer.from('x-more: abc\r\n'.repeat(5000));
const chunk = Buffer.concat([Buffer.from('10000\r\n'), letters, Buffer.from('\r\n')]);
const smallChunks = Buffer.from('1\r\na\r\n'.repeat(10_000));

/** Each part of an answer that may go on without end, with a length, chunks or neither. */
export const endlessAnswers: Readonly<Record<string, EndlessAnswer>> = {
  'early heads': { begin: '', block: Buffer.from('HTTP/1.1 103 Early\r\n\r\n'.repeat(2000)) },
  'a status line': { begin: 'HTTP/1.1 200 ', block: letters },
  'a header': { begin: `${OK_LINE}x-long: `, block: letters },
  headers: { begin: OK_LINE, block: headers },
  'no answer': { begin: '', block: letters },
  'a body without a length': { begin: PLAIN, block: letters },
  'a body with a length': {
    begin: `${OK_LINE}content-length: 9000000000000\r\n\r\n`,
    block: letters,
  },
  'a body with chunks': { begin: CHUNKED, block: chunk },
  'a body with small chunks': { begin: CHUNKED, block: smallChunks },
  'the extension of a chunk': { begin: `${CHUNKED}5;`, block: letters },
  trailers: { begin: `${CHUNKED}0\r\n`, block: headers },
  'the body of an error': { begin: PLAIN.replace('200 OK', '500 Error'), block: letters },
  'a JSON string': { begin: `${PLAIN}{"items":"`, block: letters },
  'a JSON list': { begin: `${PLAIN}{"items":[`, block: Buffer.from('{},'.repeat(20_000)) },
  'JSON lists in each other': { begin: PLAIN, block: Buffer.alloc(BLOCK_BYTES, '[') },
};

/** A server that answers each request with bytes without end. */
export class EndlessServer {
  readonly #answer: EndlessAnswer;

  readonly #sockets = new Set<Socket>();

  readonly #server = createServer((socket) => this.#handle(socket));

  constructor(answer: EndlessAnswer) {
    this.#answer = answer;
  }

  /** Number of connections that are still open. */
  get connectionCount(): number {
    return this.#sockets.size;
  }

  /** Starts to listen; returns the address. */
  async start(): Promise<string> {
    this.#server.listen(0, '127.0.0.1');
    await once(this.#server, 'listening');
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  stop(): void {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }

  #handle(socket: Socket): void {
    this.#sockets.add(socket);
    socket.on('error', () => {});
    socket.on('close', () => this.#sockets.delete(socket));
    const writeOn = () => {
      while (!socket.destroyed && socket.write(this.#answer.block));
    };
    socket.on('drain', writeOn);
    socket.once('data', () => {
      socket.write(this.#answer.begin);
      writeOn();
    });
    socket.resume();
  }
}
