import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import type { ChangingStore } from './changingStore.js';
import { BRITTLE_HEADER } from './fixtures.js';
import { RestartingEndpoint } from './restartingEndpoint.js';

/** Requests that run at the same time. */
export const SLOTS = 4;

/** Time that a request runs. */
export const RUN_MS = 150;

/** Time for which one that fell over is down. */
const DOWN_MS = 1500;

const TURN_AWAY_WINDOW_MS = 1000;

/** What the endpoints of a service have in common. */
export interface BrittleTerms {
  /** Requests that an endpoint may turn away in a second; null while it says nothing. */
  brittleness: number | null;
  /** Requests that an endpoint takes, running and waiting. */
  room: number;
}

/** An endpoint that falls over when it has to turn too many requests away in a second. */
export class BrittleEndpoint extends RestartingEndpoint {
  readonly #terms: BrittleTerms;

  readonly #turnedAwayAt: number[] = [];

  #taken = 0;

  readonly #waiting: (() => void)[] = [];

  #inSlots = 0;

  /** Times that it fell over. */
  falls = 0;

  /** Requests that it has run. */
  served = 0;

  constructor(name: string, terms: BrittleTerms, store: ChangingStore) {
    super(name, { end: 'reset', identity: 'new', leaseMs: 600 }, store, SLOTS);
    this.#terms = terms;
  }

  protected override getHealthHeaders = () => this.#createHeaders();

  #createHeaders(): Record<string, string> {
    const { brittleness } = this.#terms;
    return brittleness === null ? {} : { [BRITTLE_HEADER]: String(brittleness) };
  }

  protected async run(request: IncomingMessage, response: ServerResponse): Promise<void> {
    request.resume();
    request.on('error', () => {});
    if (this.#taken >= this.#terms.room) {
      this.#turnAway(request, response);
      return;
    }
    const { lifetime } = this;
    this.#taken += 1;
    while (this.#inSlots >= SLOTS) {
      await new Promise<void>((resolve) => {
        this.#waiting.push(resolve);
      });
    }
    this.#inSlots += 1;
    if (!response.destroyed) await sleep(RUN_MS);
    this.#inSlots -= 1;
    this.#taken -= 1;
    this.#waiting.shift()?.();
    if (lifetime !== this.lifetime || this.isDown) return;
    this.served += 1;
    const headers = { 'x-request': request.headers['x-request'], 'x-mac': 'mac' };
    response.writeHead(200, { ...headers, ...this.#createHeaders() }).end('answer');
  }

  #turnAway(request: IncomingMessage, response: ServerResponse): void {
    const headers = { 'x-request': request.headers['x-request'], 'x-not-run': '1' };
    response.writeHead(503, { ...headers, ...this.#createHeaders() }).end();
    const { brittleness } = this.#terms;
    // No VM can spare an endpoint that has not said that it is brittle.
    if (brittleness === null) return;
    const instant = performance.now();
    this.#turnedAwayAt.push(instant);
    while (this.#turnedAwayAt[0]! < instant - TURN_AWAY_WINDOW_MS) this.#turnedAwayAt.shift();
    if (this.#turnedAwayAt.length <= brittleness) return;
    this.#turnedAwayAt.length = 0;
    this.falls += 1;
    void this.crash(DOWN_MS);
  }
}
