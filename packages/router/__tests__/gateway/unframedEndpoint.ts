import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { RestartingEndpoint } from './restartingEndpoint.js';

/** Parts of each answer: events of a stream, or pieces of a body. */
const PARTS = 6;
const PART_GAP_MS = 15;

const isStreamPath = (path: string) => path.startsWith('/stream/') || path.startsWith('/resumed/');

function formatPart(path: string, id: number): string {
  return isStreamPath(path) ? `id: ${id}\ndata: ${id}\n\n` : `part ${id};`;
}

/** Returns the whole answer to a request. */
export function formatWholeAnswer(path: string): string {
  return Array.from({ length: PARTS }, (_, index) => formatPart(path, index + 1)).join('');
}

/** How an answer is sent. */
export interface UnframedSending {
  readonly gapMs: number;
  /** Says whether the endpoint has ended. */
  readonly isOver: () => boolean;
  /** Further times before the parts with these numbers are followed by the next, in milliseconds. */
  readonly pauses?: Readonly<Record<number, number>>;
}

/** Sends an answer that ends with its connection; resolves with whether it was sent to its end. */
export async function sendUnframedAnswer(
  request: IncomingMessage,
  response: ServerResponse,
  { gapMs, isOver, pauses = {} }: UnframedSending,
): Promise<boolean> {
  const path = request.url ?? '';
  request.resume();
  request.on('error', () => {});
  response.useChunkedEncodingByDefault = false;
  response.writeHead(200, {
    'x-request': String(request.headers['x-request']),
    'x-mac': 'mac',
    'content-type': isStreamPath(path) ? 'text/event-stream' : 'text/plain',
    connection: 'close',
  });
  response.flushHeaders();
  const after = Number(request.headers['x-after'] ?? 0);
  for (let part = after + 1; part <= PARTS; part += 1) {
    response.write(formatPart(path, part));
    await sleep(gapMs + (pauses[part] ?? 0));
    if (isOver() || response.destroyed) return false;
  }
  response.end();
  return true;
}

/** When an endpoint ended whole answers, and how often it ran requests; by request id. */
export interface AnswerRecords {
  readonly endedAt: Map<string, number>;
  readonly runs: Map<string, number>;
}

/** An endpoint whose answers have neither a length nor chunks: they end with their connection. */
export class UnframedEndpoint extends RestartingEndpoint {
  readonly #records: AnswerRecords;

  constructor(
    records: AnswerRecords,
    ...parameters: ConstructorParameters<typeof RestartingEndpoint>
  ) {
    super(...parameters);
    this.#records = records;
  }

  protected async run(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { lifetime } = this;
    const { endedAt, runs } = this.#records;
    const id = String(request.headers['x-request']);
    runs.set(id, (runs.get(id) ?? 0) + 1);
    const isOver = () => lifetime !== this.lifetime || this.isDown;
    const isWhole = await sendUnframedAnswer(request, response, { gapMs: PART_GAP_MS, isOver });
    if (isWhole) endedAt.set(id, performance.now());
  }
}
