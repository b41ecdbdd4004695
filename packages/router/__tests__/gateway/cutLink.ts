import { connect, createServer, type Server, type Socket } from 'node:net';

import { findFreeAddress } from '../../src/testing/index.js';
import { listenAgain } from './keptPort.js';

/**
 * A link to one address that a test cuts: new connections still open, and bytes and ends wait until the
 * cut is over.
 */
export class CutLink {
  readonly address: string;

  readonly #target: string;

  readonly #sockets = new Set<Socket>();

  readonly #server: Server;

  #held: (() => void)[] = [];

  #isCut = false;

  private constructor(address: string, target: string) {
    this.address = address;
    this.#target = target;
    this.#server = createServer({ allowHalfOpen: true }, (near) =>
      this.#pass(() => this.#open(near)),
    );
  }

  /** Opens a link to an address. */
  static async create(target: string): Promise<CutLink> {
    const link = new CutLink(await findFreeAddress(), target);
    await listenAgain(link.#server, link.address);
    return link;
  }

  /** Passes nothing on from now on. */
  cut(): void {
    this.#isCut = true;
  }

  /** Passes on what waits, in order, and all that follows. */
  heal(): void {
    this.#isCut = false;
    const held = this.#held;
    this.#held = [];
    held.forEach((step) => step());
  }

  close(): void {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }

  #pass(step: () => void): void {
    if (this.#isCut) this.#held.push(step);
    else step();
  }

  #open(near: Socket): void {
    if (near.destroyed) return;
    const [host, port] = this.#target.split(':');
    const far = connect({ host, port: Number(port), allowHalfOpen: true });
    this.#join(near, far);
    this.#join(far, near);
  }

  #join(from: Socket, to: Socket): void {
    this.#sockets.add(from);
    from.on('data', (chunk) => this.#pass(() => to.writable && to.write(chunk)));
    from.on('end', () => this.#pass(() => to.writable && to.end()));
    from.on('error', () => this.#pass(() => to.resetAndDestroy()));
    from.on('close', () => this.#sockets.delete(from));
  }
}
