import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { randomInteger, type Random } from '@filbertlatch/core';

import { RestartingEndpoint } from './restartingEndpoint.js';

/** Events of a whole stream. */
export const EVENTS = 24;
const EVENT_GAP_MS = 12;

/** Name of the header of a request whose stream its endpoint breaks off once. */
export const TORN_HEADER = 'x-torn';

/** An endpoint whose events name the version that wrote them. */
export class VersionedEndpoint extends RestartingEndpoint {
  readonly #random: Random;

  constructor(
    version: string,
    random: Random,
    ...[name, life, store]: ConstructorParameters<typeof RestartingEndpoint>
  ) {
    super(name, life, store);
    this.version = version;
    this.#random = random;
  }

  /** Leaves as planned and is back with another version. */
  async replace(version: string, downMs: number): Promise<void> {
    await this.leave(downMs, () => {
      this.version = version;
    });
  }

  protected async run(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { lifetime } = this;
    request.resume();
    request.on('error', () => {});
    const { version } = this;
    const after = Number(request.headers['x-after'] ?? 0);
    const isTorn = request.headers[TORN_HEADER] !== undefined && after === 0;
    const tornAt = isTorn ? 1 + randomInteger(this.#random, EVENTS - 2) : EVENTS;
    response.writeHead(200, {
      'x-request': request.headers['x-request'],
      'x-mac': 'mac',
      'content-type': 'text/event-stream',
    });
    for (let id = after + 1; id <= EVENTS; id += 1) {
      response.write(`id: ${id}\ndata: ${version}\n\n`);
      await sleep(EVENT_GAP_MS);
      if (lifetime !== this.lifetime || this.isDown || response.destroyed) return;
      if (id === tornAt && isTorn) {
        request.socket.resetAndDestroy();
        return;
      }
    }
    response.end();
  }
}
