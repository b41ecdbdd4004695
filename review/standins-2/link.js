// A link to one process: passes the bytes of its connections on, and cuts them without a word. Bytes
// and ends of connections wait until the cut is over.
import { connect, createServer } from 'node:net';

import { listenOnLastingPort } from '@filbertlatch/platform/soak/standins/ports.js';

/** Proxy that stands for one address. */
export class Link {
  #target;

  #isCut = false;

  /** What waits for the end of the cut, in order. */
  #held = [];

  #server = null;

  #sockets = new Set();

  /** `IP:PORT` at which the process is reached. */
  address = null;

  /** `target` returns the `IP:PORT` at which the process listens now. */
  constructor(target) {
    this.#target = target;
  }

  async start() {
    this.#server = createServer({ allowHalfOpen: true }, (near) =>
      this.#pass(() => this.#open(near)),
    );
    this.address = await listenOnLastingPort(this.#server);
  }

  /** Passes nothing on from now on. */
  cut() {
    this.#isCut = true;
  }

  /** Passes on what waits, and all that follows. */
  heal() {
    this.#isCut = false;
    this.#held.splice(0).forEach((step) => step());
  }

  stop() {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }

  #pass(step) {
    if (this.#isCut) this.#held.push(step);
    else step();
  }

  #open(near) {
    if (near.destroyed) return;
    const [host, port] = this.#target().split(':');
    const far = connect({ host, port: Number(port), allowHalfOpen: true });
    this.#join(near, far);
    this.#join(far, near);
  }

  #join(from, to) {
    this.#sockets.add(from);
    from.on('data', (chunk) => this.#pass(() => to.writable && to.write(chunk)));
    from.on('end', () => this.#pass(() => to.writable && to.end()));
    from.on('error', () => this.#pass(() => to.resetAndDestroy()));
    from.on('close', () => this.#sockets.delete(from));
  }
}
