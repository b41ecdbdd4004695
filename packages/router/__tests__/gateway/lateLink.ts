import { Socket as DatagramSocket } from 'node:dgram';
import { once } from 'node:events';
import { connect, createServer, Socket, type Server } from 'node:net';

import { findFreeAddress } from '../../src/testing/index.js';

type Connect = typeof Socket.prototype.connect;
type Send = typeof DatagramSocket.prototype.send;

const connectSocket = Socket.prototype.connect;
const sendDatagram = DatagramSocket.prototype.send;

const links = new Map<number, LateLink>();

/** Runs actions after a delay, in the order of their calls. */
class DelayLine {
  readonly #delayMs: () => number;

  #latest = Promise.resolve();

  constructor(delayMs: () => number) {
    this.#delayMs = delayMs;
  }

  run(action: () => void): void {
    const before = this.#latest;
    const delayed = new Promise((resolve) => {
      setTimeout(resolve, this.#delayMs());
    });
    this.#latest = Promise.all([before, delayed]).then(action);
  }
}

/**
 * The links to one address: what is sent there, and comes back, waits in a queue, whole requests and
 * closes alike. Datagrams wait as well.
 */
export class LateLink {
  delayMs = 0;

  readonly #target: number;

  readonly #sockets = new Set<Socket>();

  readonly #datagrams = new DelayLine(() => this.delayMs);

  #server!: Server;

  #port = 0;

  private constructor(target: string) {
    this.#target = Number(target.split(':')[1]);
  }

  /** Takes over the connections and datagrams that go to an address. */
  static async create(target: string): Promise<LateLink> {
    const link = new LateLink(target);
    await link.#listen();
    links.set(link.#target, link);
    Socket.prototype.connect = function connectOverLink(this: Socket, ...parameters: unknown[]) {
      const [first] = parameters;
      const options: unknown = Array.isArray(first) ? (first as readonly unknown[])[0] : first;
      const terms = options as { port?: unknown; isLinked?: boolean } | null;
      const taken = links.get(Number(terms?.port));
      if (taken !== undefined && terms!.isLinked !== true) terms!.port = taken.#port;
      return connectSocket.apply(this, parameters as Parameters<Connect>);
    };
    DatagramSocket.prototype.send = function sendOverLink(
      this: DatagramSocket,
      ...parameters: unknown[]
    ) {
      const sendNow = () => {
        try {
          sendDatagram.apply(this, parameters as Parameters<Send>);
        } catch {
          // The socket was closed meanwhile.
        }
      };
      const taken = links.get(Number(parameters[1]));
      if (taken === undefined || taken.delayMs === 0) sendNow();
      else taken.#datagrams.run(sendNow);
    } as Send;
    return link;
  }

  /** Closes everything. */
  close(): void {
    links.delete(this.#target);
    this.#server.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }

  async #listen(): Promise<void> {
    this.#port = Number((await findFreeAddress()).split(':')[1]);
    this.#server = createServer({ allowHalfOpen: true, noDelay: true }, (socket) =>
      this.#join(socket),
    );
    this.#server.listen(this.#port, '127.0.0.1');
    await once(this.#server, 'listening');
  }

  #join(near: Socket): void {
    const target = { host: '127.0.0.1', port: this.#target, allowHalfOpen: true, noDelay: true };
    const far = connect({ ...target, isLinked: true } as never);
    this.#forward(near, far);
    this.#forward(far, near);
  }

  #forward(from: Socket, to: Socket): void {
    const line = new DelayLine(() => this.delayMs);
    this.#sockets.add(from);
    from.on('data', (bytes) => line.run(() => to.write(bytes)));
    from.on('end', () => line.run(() => to.end()));
    from.on('error', () => line.run(() => to.resetAndDestroy()));
    from.on('close', () => {
      this.#sockets.delete(from);
      line.run(() => to.destroySoon());
    });
  }
}
