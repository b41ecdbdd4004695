import type { ActionOf } from '@filbertlatch/core';
import { createParser } from 'eventsource-parser';
import type { Dispatcher } from 'undici';

import type { Exchange, ServiceAnswer } from '../callers/exchange.js';
import { AttemptError } from './attemptError.js';
import { DONE, REQUEST_ID_HEADER } from './engineProtocol.js';
import { hasToken, readEvent, type StreamEvent } from './streamEvent.js';

const TOO_MANY_REQUESTS = 429;
const UNAVAILABLE = 503;
const MS_PER_SECOND = 1000;

function readRetryAfter(response: Dispatcher.ResponseData): number | null {
  const seconds = Number(response.headers['retry-after']);
  return Number.isFinite(seconds) ? seconds * MS_PER_SECOND : null;
}

/** Throws when the endpoint's status says that there is no answer. */
export async function checkStatus(response: Dispatcher.ResponseData): Promise<void> {
  const { statusCode: status } = response;
  if (status < 400) return;
  const text = await response.body.text();
  const message = `status ${status}: ${text.slice(0, 200)}`;
  if (status === TOO_MANY_REQUESTS || status === UNAVAILABLE) {
    const retryAfterMs = readRetryAfter(response);
    throw new AttemptError('refused', 'not-run', message, { status, retryAfterMs });
  }
  if (status < 500) throw new AttemptError('invalid', 'not-run', message, { status });
  throw new AttemptError('server-error', 'may-have-run', message, { status });
}

function countTokens(events: readonly StreamEvent[]): number {
  let tokens = 0;
  for (const event of events) if (hasToken(event)) tokens += 1;
  return tokens;
}

/** What reading a stream tells while it goes on. */
export interface Progress {
  onTokens(count: number): void;
  onBytes(): void;
}

/** Reads an engine's stream to its end, passes it on, and returns the tokens it carried. */
export async function readStream(
  body: AsyncIterable<Buffer>,
  { attempt }: ActionOf<'dispatch'>,
  exchange: Exchange,
  progress: Progress,
): Promise<number> {
  // Hot path: one pass a read, and one write, however many events the read brought.
  const events: StreamEvent[] = [];
  const decoder = new TextDecoder();
  let isDone = false;
  const parser = createParser({
    onEvent: ({ data }) => {
      if (data === DONE) isDone = true;
      else if (!isDone) events.push(readEvent(data, attempt.id));
    },
  });
  let tokens = 0;
  for await (const bytes of body) {
    progress.onBytes();
    parser.feed(decoder.decode(bytes, { stream: true }));
    if (events.length > 0) {
      const arrived = countTokens(events);
      const room = exchange.writeEvents(events);
      tokens += arrived;
      if (arrived > 0) progress.onTokens(arrived);
      events.length = 0;
      if (room !== undefined) await room;
    }
    if (isDone) return tokens;
  }
  throw new AttemptError('truncated', 'ran', 'the stream ended before its last event');
}

const DROPPED_HEADERS = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'content-length',
]);

/** Reads a plain service's whole answer. */
export async function readServiceAnswer(
  { attempt }: ActionOf<'dispatch'>,
  response: Dispatcher.ResponseData,
): Promise<ServiceAnswer> {
  const echoed = response.headers[REQUEST_ID_HEADER];
  if (echoed !== attempt.id) {
    throw new AttemptError('echo-mismatch', 'may-have-run', `answer to ${String(echoed)}`);
  }
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(response.headers)) {
    if (typeof value === 'string' && !DROPPED_HEADERS.has(name)) headers[name] = value;
  }
  const body = Buffer.from(await response.body.arrayBuffer());
  return { status: response.statusCode, headers, body };
}
