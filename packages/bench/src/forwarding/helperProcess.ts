import { fork, type ChildProcess } from 'node:child_process';

import type { Answer, AnswerOf, Ask } from './protocol.js';

const WORKER = new URL('./worker.js', import.meta.url);

/** One process of the experiment; it ends with the experiment. */
export class HelperProcess {
  readonly #child: ChildProcess;

  constructor(execArgv: readonly string[] = []) {
    this.#child = fork(WORKER, { execArgv: [...execArgv] });
  }

  /** Asks for something and waits for the answer; one question at a time. */
  async ask<K extends Answer['kind']>(ask: Ask, kind: K): Promise<AnswerOf<K>> {
    const answer = await new Promise<Answer>((resolve, reject) => {
      const onExit = () => reject(new Error('a process of the experiment ended'));
      this.#child.once('exit', onExit);
      this.#child.once('message', (message) => {
        this.#child.off('exit', onExit);
        resolve(message as Answer);
      });
      this.#child.send(ask);
    });
    if (answer.kind === 'failed') throw new Error(answer.message);
    if (answer.kind !== kind) throw new TypeError(`expected ${kind}, got ${answer.kind}`);
    return answer as AnswerOf<K>;
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
