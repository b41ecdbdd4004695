import type { ActionOf, Endpoint } from '@filbertlatch/core';

import type { Exchanges } from '../callers/exchanges.js';
import type { Decider } from '../decider/index.js';
import { EndpointTask } from './endpointTask.js';

/** Keeps one task for each endpoint URL and passes each attempt to its endpoint's task. */
export class EndpointTasks {
  readonly #decider: Decider;

  readonly #exchanges: Exchanges;

  readonly #maxAnswerBytes: number;

  readonly #tasks = new Map<string, EndpointTask>();

  readonly #endpointByAttempt = new Map<string, string>();

  constructor(decider: Decider, exchanges: Exchanges, maxAnswerBytes: number) {
    this.#maxAnswerBytes = maxAnswerBytes;
    this.#decider = decider;
    this.#exchanges = exchanges;
  }

  /** Starts an attempt. */
  dispatch(action: ActionOf<'dispatch'>): void {
    const { attempt, endpoint } = action;
    this.#endpointByAttempt.set(attempt.id, endpoint.url);
    void this.#taskFor(endpoint)
      .run(action)
      .finally(() => this.#endpointByAttempt.delete(attempt.id));
  }

  /** Cancels an attempt. */
  cancel(attemptId: string): void {
    const url = this.#endpointByAttempt.get(attemptId);
    if (url !== undefined) this.#tasks.get(url)?.cancel(attemptId);
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await Promise.all([...this.#tasks.values()].map((task) => task.close()));
  }

  #taskFor(endpoint: Endpoint): EndpointTask {
    let task = this.#tasks.get(endpoint.url);
    if (task === undefined) {
      task = new EndpointTask(endpoint, this.#decider, this.#exchanges, this.#maxAnswerBytes);
      this.#tasks.set(endpoint.url, task);
    }
    return task;
  }
}
