import type { Action, Core, Message } from '@filbertlatch/core';
import type { Logger } from 'winston';

type Part = 'configuration' | 'list';

/** Returns the part of the platform that a message shows to answer; null for any other. */
function partHeard(message: Message): Part | null {
  if (message.kind === 'platform-unchanged') return message.part;
  if (message.kind === 'manifest-offered' && message.source === 'service') return 'configuration';
  return message.kind === 'list-offered' && message.source === 'service' ? 'list' : null;
}

/** The task that logs the changes of state which the core's decisions do not tell by themselves. */
export class ChangeLog {
  readonly #core: Core;

  readonly #log: Logger;

  readonly #lost = new Set<Part>();

  constructor(core: Core, log: Logger) {
    this.#core = core;
    this.#log = log;
  }

  /** Takes in a message and its actions; a line is written only when they change a state. */
  watch(message: Message, actions: readonly Action[]): void {
    // Hot path: one call a token.
    if (message.kind === 'tokens-arrived') return;
    if (message.kind === 'platform-failed') this.#lose(message.part);
    else if (message.kind === 'drain-began') this.#beginDrain();
    else if (message.kind === 'drain-timed-out') this.#endDrain(actions);
    else this.#find(partHeard(message));
  }

  #lose(part: Part): void {
    if (this.#lost.has(part)) return;
    this.#lost.add(part);
    this.#log.log('warn', 'platform_lost', { part });
  }

  #find(part: Part | null): void {
    if (part === null || !this.#lost.delete(part)) return;
    this.#log.log('info', 'platform_back', { part });
  }

  #beginDrain(): void {
    this.#log.log('info', 'drain_began', { openRequests: this.#core.requests.size });
  }

  #endDrain(actions: readonly Action[]): void {
    const cutOff = actions.filter((action) => action.kind === 'request-ended').length;
    if (cutOff === 0) this.#log.log('info', 'drained');
    else this.#log.log('warn', 'drain_timed_out', { cutOff });
  }
}
