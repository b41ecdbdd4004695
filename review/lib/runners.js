import { fork } from 'node:child_process';
import { once } from 'node:events';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

const PROGRAM = join(dirname(fileURLToPath(import.meta.url)), 'runner.js');

const HEARTBEAT_MS = 1200;

/** A runner: its process, and its entry in the store, which it renews while it lives. */
export class Runner {
  #store;

  #service;

  #options;

  #process = null;

  #entry = null;

  #timer = null;

  #isWriting = false;

  /** What the process has told, in order. */
  events;

  constructor(store, service, events, options) {
    this.#store = store;
    this.#service = service;
    this.events = events;
    this.#options = { slots: 6, healthPath: '/health', ...options };
    this.id = this.#options.id;
  }

  /** Starts the process and registers it. */
  async start() {
    this.#process = fork(PROGRAM, [JSON.stringify(this.#options)]);
    const [{ address }] = await once(this.#process, 'message');
    this.#process.on('message', (event) => this.events.push(event));
    this.#entry = {
      service: this.#service,
      address,
      zone: 'hall',
      version: '1',
      slots: this.#options.slots,
      state: 'ready',
      cold_left_ms: 0,
      seq: 1,
      born: Date.now(),
    };
    await this.#write();
    this.#timer = setInterval(() => {
      void this.#write();
    }, HEARTBEAT_MS);
  }

  /** Ends the process, with its connections; its entry lapses. */
  kill() {
    this.stop();
    this.#removeLater();
  }

  /** Resets all connections and ends the process; its entry lapses. */
  crash() {
    clearInterval(this.#timer);
    this.#process.send({ kind: 'crash' });
    this.#process = null;
    this.#removeLater();
  }

  /** Ends the process without a word to the store. */
  stop() {
    clearInterval(this.#timer);
    this.#process?.kill('SIGKILL');
    this.#process = null;
  }

  #removeLater() {
    setTimeout(() => this.#store.remove(`servers/${this.id}`), 3 * HEARTBEAT_MS).unref();
  }

  async #write() {
    if (this.#isWriting) return;
    this.#isWriting = true;
    this.#entry.seq += 1;
    await this.#store.write(`servers/${this.id}`, this.#entry);
    this.#isWriting = false;
  }
}
