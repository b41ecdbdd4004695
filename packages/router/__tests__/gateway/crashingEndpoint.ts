import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import type { Random } from '@filbertlatch/core';

import type { ChangingStore } from './changingStore.js';
import { drawBetween, type CrashScenario } from './crashScenario.js';
import { RestartingEndpoint } from './restartingEndpoint.js';

const RUN_MS = 15;

/** Begin of the body of a request that crashes the endpoint. */
export const CRASHING_BODY = 'crash';

/** Begin of the id of a send that counts among the arrivals. */
export const COUNTED_SEND = 'counted';

/** What the endpoints saw of one request that crashes them. */
export interface CrashRecord {
  readonly arrivals: number[];
  readonly crashes: number[];
}

/** An endpoint that ends under a crashing request, with all that runs there, and is back later. */
export class CrashingEndpoint extends RestartingEndpoint {
  readonly #scenario: CrashScenario;

  readonly #random: Random;

  readonly #records: Map<string, CrashRecord>;

  constructor(
    name: string,
    scenario: CrashScenario,
    store: ChangingStore,
    random: Random,
    records: Map<string, CrashRecord>,
  ) {
    super(name, scenario, store);
    this.#scenario = scenario;
    this.#random = random;
    this.#records = records;
  }

  protected async run(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { lifetime } = this;
    let body = '';
    request.on('data', (chunk: Buffer) => {
      body += chunk.toString();
    });
    request.on('error', () => {});
    const [kind, name = ''] = String(request.headers['x-request']).split('/');
    const record = this.#records.get(name);
    if (kind === COUNTED_SEND) record?.arrivals.push(performance.now());
    const isBystander = record === undefined;
    await sleep(isBystander ? drawBetween(this.#random, this.#scenario.bystanderRunMs) : RUN_MS);
    if (lifetime !== this.lifetime || this.isDown) return;
    if (body.startsWith(CRASHING_BODY)) {
      record?.crashes.push(performance.now());
      void this.crash(drawBetween(this.#random, this.#scenario.downMs));
    } else {
      response.writeHead(200, { 'x-request': request.headers['x-request'], 'x-mac': 'mac' });
      response.end('answer');
    }
  }
}
