import { fork } from 'node:child_process';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

import { findFreeAddresses } from '@filbertlatch/platform/soak/standins/ports.js';
import { Link } from './link.js';

const PROGRAM = fileURLToPath(new URL('streamer.js', import.meta.url));

/** Time from the first answer in which a runner says that it leaves until its entry is removed. */
const REMOVAL_MS = 300;

/** Interval at which a runner renews its entry. */
const HEARTBEAT_MS = 1200;

/** One runner, its link and its entry in the store. */
export class Runner {
  #options;

  #store;

  #record;

  #process = null;

  #timer = null;

  #seq = 0;

  #born = 0;

  link;

  /** `options` are those of the program, with `id` and `service`. */
  constructor(options, store, record) {
    this.#options = options;
    this.#store = store;
    this.#record = record;
  }

  get id() {
    return this.#options.id;
  }

  /** Opens its address; the same one for all its lifetimes. */
  async open() {
    const [address] = await findFreeAddresses(1);
    this.#options = { ...this.#options, address };
    this.link = new Link(() => address);
    await this.link.start();
  }

  /** Starts a lifetime, which registers under the same id; resolves when it listens. */
  async start() {
    this.#born = Date.now();
    const options = JSON.stringify({ ...this.#options, born: this.#born });
    const child = fork(PROGRAM, [options]);
    this.#process = child;
    child.on('message', this.#record);
    await new Promise((resolve) => {
      child.once('message', resolve);
    });
    this.#seq = 0;
    this.#register();
    this.#timer = setInterval(() => this.#register(), HEARTBEAT_MS);
  }

  #register() {
    const { id, service, slots } = this.#options;
    this.#store.put(`servers/${id}`, {
      service,
      address: this.link.address,
      zone: 'hall',
      version: '1',
      slots,
      state: 'ready',
      cold_left_ms: 0,
      seq: this.#seq,
      born: this.#born,
    });
    this.#seq += 1;
  }

  /**
   * It says in its answers that it leaves, and has its entry removed, without a report that it drains;
   * it serves on. Resolves when the entry is removed.
   */
  async leave() {
    clearInterval(this.#timer);
    this.#process.send({ kind: 'leave' });
    await sleep(REMOVAL_MS);
    this.#store.remove(`servers/${this.id}`);
  }

  /** Crashes it, or ends it after it has left. */
  async crash() {
    clearInterval(this.#timer);
    const child = this.#process;
    this.#process = null;
    const ended = new Promise((resolve) => {
      child.once('exit', resolve);
    });
    child.kill('SIGKILL');
    await ended;
  }

  stop() {
    clearInterval(this.#timer);
    this.#process?.kill('SIGKILL');
    this.link?.stop();
  }
}
