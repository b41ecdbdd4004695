import type { Action, Core, Message } from '@filbertlatch/core';
import type { Logger } from 'winston';

type Part = 'configuration' | 'list';

/** Returns the part of the platform that a message shows to be reachable; null for others. */
function findAnsweringPart(message: Message): Part | null {
  if (message.kind === 'platform-unchanged') return message.part;
  if (message.kind === 'manifest-offered' && message.source === 'service') return 'configuration';
  return message.kind === 'list-offered' && message.source === 'service' ? 'list' : null;
}

/** Logs when the platform is lost or back and when a drain begins or ends. */
export class ChangeLog {
  readonly #core: Core;

  readonly #log: Logger;

  readonly #lostParts = new Set<Part>();

  constructor(core: Core, log: Logger) {
    this.#core = core;
    this.#log = log;
  }

  /** Processes a message and its actions; logs a line only when they change a state. */
  watch(message: Message, actions: readonly Action[]): void {
    // Hot path: called for every token event.
    if (message.kind === 'tokens-arrived') return;
    if (message.kind === 'platform-failed') this.#markLost(message.part);
    else if (message.kind === 'drain-began') this.#logDrainBegan();
    else if (message.kind === 'drain-timed-out') this.#logDrainEnded(actions);
    else this.#markRecovered(findAnsweringPart(message));
  }

  #markLost(part: Part): void {
    if (this.#lostParts.has(part)) return;
    this.#lostParts.add(part);
    this.#log.log('warn', 'platform_lost', { part });
  }

  #markRecovered(part: Part | null): void {
    if (part === null || !this.#lostParts.delete(part)) return;
    this.#log.log('info', 'platform_back', { part });
  }

  #logDrainBegan(): void {
    this.#log.log('info', 'drain_began', { openRequests: this.#core.requests.size });
  }

  #logDrainEnded(actions: readonly Action[]): void {
    const cutOff = actions.filter((action) => action.kind === 'request-ended').length;
    if (cutOff === 0) this.#log.log('info', 'drained');
    else this.#log.log('warn', 'drain_timed_out', { cutOff });
  }
}
