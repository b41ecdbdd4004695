import { connect, createServer } from 'node:net';

import { listenOnLastingPort } from './project.js';

/** The way of all machines to the store: its open channels can be made silent. */
export class StoreLink {
  address = null;

  #target;

  #server = createServer((near) => this.#join(near));

  #channels = new Set();

  /** `target` is the address of the store. */
  constructor(target) {
    this.#target = target;
  }

  /** Listens. */
  async start() {
    this.address = await listenOnLastingPort(this.#server);
  }

  /** No byte passes on the channels that are open now; new ones work. Returns their number. */
  silence() {
    const { size } = this.#channels;
    this.#channels.forEach((channel) => {
      channel.near.unpipe().pause();
      channel.far.unpipe().pause();
    });
    return size;
  }

  /** Closes all channels. */
  stop() {
    this.#server.close();
    this.#channels.forEach(({ near, far }) => {
      near.destroy();
      far.destroy();
    });
  }

  #join(near) {
    const [host, port] = this.#target.split(':');
    const far = connect(Number(port), host);
    const channel = { near, far };
    this.#channels.add(channel);
    [near, far].forEach((socket) => {
      socket.on('error', () => {});
      socket.on('close', () => {
        this.#channels.delete(channel);
        near.destroy();
        far.destroy();
      });
    });
    near.pipe(far);
    far.pipe(near);
  }
}
