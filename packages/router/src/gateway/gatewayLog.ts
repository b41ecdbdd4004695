import type { Logger } from 'winston';

import { now } from '../clock.js';

/** Lines a second under load; what is beyond is counted and told with the next line. */
const MOST_LINES_PER_SECOND = 150;

const MS_PER_SECOND = 1000;

/** Fields of one line; no prompt, body or key. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Writes decisions as JSON lines, bounded in number so that a flood cannot slow requests. */
export class GatewayLog {
  readonly #log: Logger;

  #left = MOST_LINES_PER_SECOND;

  #filledAt = now();

  #dropped = 0;

  constructor(log: Logger) {
    this.#log = log;
  }

  /** Writes a line about one request. */
  decision(event: string, fields: LogFields): void {
    const instant = now();
    const earned = ((instant - this.#filledAt) / MS_PER_SECOND) * MOST_LINES_PER_SECOND;
    this.#left = Math.min(MOST_LINES_PER_SECOND, this.#left + earned);
    this.#filledAt = instant;
    if (this.#left < 1) {
      this.#dropped += 1;
      return;
    }
    this.#left -= 1;
    const dropped = this.#dropped === 0 ? {} : { droppedLines: this.#dropped };
    this.#dropped = 0;
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
