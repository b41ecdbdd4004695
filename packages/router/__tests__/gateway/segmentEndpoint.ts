import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import type { Random } from '@filbertlatch/core';

import type { ChangingStore } from './changingStore.js';
import { drawBetween } from './crashScenario.js';
import { COUNTED_SEND, type CrashRecord } from './crashingEndpoint.js';
import { RestartingEndpoint } from './restartingEndpoint.js';
import type { SegmentScenario } from './segmentScenario.js';

const EVENTS = 6;
const EVENT_GAP_MS = 30;

/** Begin of the id of a segment that crashes endpoints. */
export const CRASHING_SEGMENT = 'crash';

/** An engine that crashes when it begins to answer a prompt with a certain segment. */
export class SegmentEndpoint extends RestartingEndpoint {
  readonly #scenario: SegmentScenario;

  readonly #random: Random;

  readonly #records: Map<string, CrashRecord>;

  constructor(
    name: string,
    scenario: SegmentScenario,
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
    request.resume();
    request.on('error', () => {});
    const { lifetime } = this;
    const { crashAt, firstEventMs, framing } = this.#scenario;
    if (framing === 'none') {
      response.useChunkedEncodingByDefault = false;
      response.setHeader('connection', 'close');
    }
    const [kind] = String(request.headers['x-request']).split('/');
    const crashing = String(request.headers['x-segments'])
      .split(',')
      .find((id) => id.startsWith(CRASHING_SEGMENT));
    const record = crashing === undefined ? undefined : this.#records.get(crashing);
    if (kind === COUNTED_SEND) record?.arrivals.push(performance.now());
    const isGone = () => lifetime !== this.lifetime || this.isDown || response.destroyed;
    await sleep(drawBetween(this.#random, firstEventMs));
    if (isGone()) return;
    if (record === undefined || crashAt !== 'before') {
      response.writeHead(200, {
        'x-request': request.headers['x-request'],
        'x-mac': 'mac',
        'content-type': 'text/event-stream',
      });
      response.flushHeaders();
    }
    if (record !== undefined && crashAt !== 'event') {
      this.#crash(record);
      return;
    }
    const after = Number(request.headers['x-after'] ?? 0);
    for (let id = after + 1; id <= EVENTS; id += 1) {
      response.write(`id: ${id}\ndata: ${id}\n\n`);
      await sleep(EVENT_GAP_MS);
      if (isGone()) return;
      if (record !== undefined) {
        this.#crash(record);
        return;
      }
    }
    response.end();
  }

  #crash(record: CrashRecord): void {
    record.crashes.push(performance.now());
    void this.crash(drawBetween(this.#random, this.#scenario.downMs));
  }
}
