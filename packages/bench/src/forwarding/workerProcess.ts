import { fork, type ChildProcess } from 'node:child_process';

import type { WorkerReply, WorkerReplyOf, WorkerCommand } from './workerMessages.js';

const WORKER_FILE = new URL('./worker.js', import.meta.url);

/** A child process that runs engines, a router or streams; it ends with the experiment. */
export class WorkerProcess {
  readonly #child: ChildProcess;

  constructor(execArgv: readonly string[] = []) {
    this.#child = fork(WORKER_FILE, { execArgv: [...execArgv] });
  }

  /**
   * Sends a command and waits for a reply of the given kind; one command at a time. Throws when the
   * command fails, the process ends, or the reply is of another kind.
   */
  async sendCommand<K extends WorkerReply['kind']>(
    command: WorkerCommand,
    kind: K,
  ): Promise<WorkerReplyOf<K>> {
    const reply = await new Promise<WorkerReply>((resolve, reject) => {
      const onExit = () => reject(new Error('a worker process ended before it replied'));
      this.#child.once('exit', onExit);
      this.#child.once('message', (message) => {
        this.#child.off('exit', onExit);
        resolve(message as WorkerReply);
      });
      this.#child.send(command);
    });
    if (reply.kind === 'failed') throw new Error(reply.message);
    if (reply.kind !== kind) throw new TypeError(`expected ${kind}, got ${reply.kind}`);
    return reply as WorkerReplyOf<K>;
  }

  /** Ends the process. */
  async stop(): Promise<void> {
    if (this.#child.exitCode !== null) return;
    const ended = new Promise((resolve) => {
      this.#child.once('exit', resolve);
    });
    this.#child.disconnect();
    await ended;
  }
}
