import type { Logger } from 'winston';

import { now } from '../clock.js';

/** Lines a second under load; what is beyond is counted and told with the next line. */
const MAX_DECISION_LINES_PER_SECOND = 150;

const MS_PER_SECOND = 1000;

/** Fields of one line; no prompt, body or key. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Writes decisions as JSON lines, bounded in number so that a flood cannot slow requests. */
export class GatewayLog {
  readonly #log: Logger;

  #lineBudget = MAX_DECISION_LINES_PER_SECOND;

  #refilledAt = now();

  #droppedLines = 0;

  constructor(log: Logger) {
    this.#log = log;
  }

  /** Writes a line about one request. */
  decision(event: string, fields: LogFields): void {
    const instant = now();
    const earned = ((instant - this.#refilledAt) / MS_PER_SECOND) * MAX_DECISION_LINES_PER_SECOND;
    this.#lineBudget = Math.min(MAX_DECISION_LINES_PER_SECOND, this.#lineBudget + earned);
    this.#refilledAt = instant;
    if (this.#lineBudget < 1) {
      this.#droppedLines += 1;
      return;
    }
    this.#lineBudget -= 1;
    const dropped = this.#droppedLines === 0 ? {} : { droppedLines: this.#droppedLines };
    this.#droppedLines = 0;
    this.#log.info(event, { ...fields, ...dropped });
  }

  /** Writes a line about a change of what the process believes. */
  change(event: string, fields: LogFields): void {
    this.#log.info(event, fields);
  }

  /** Writes a line about a dependency that was lost or does not do as it should. */
  warn(event: string, fields: LogFields): void {
    this.#log.warn(event, fields);
  }
}
