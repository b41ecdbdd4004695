import type { ActionOf } from '@filbertlatch/core';
import { createParser } from 'eventsource-parser';
import type { Dispatcher } from 'undici';

import type { Exchange, ServiceAnswer } from '../callers/exchange.js';
import { AttemptError } from './attemptError.js';
import { DONE, REQUEST_ID_HEADER, chunkSchema, type Chunk } from './engineProtocol.js';

const TOO_MANY_REQUESTS = 429;
const UNAVAILABLE = 503;
const MS_PER_SECOND = 1000;
const MOST_EVENT_CHARACTERS = 1_048_576;

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

function parseChunk(data: string): Chunk {
  let value: unknown;
  try {
    value = JSON.parse(data);
  } catch (cause) {
    throw new AttemptError('malformed', 'ran', 'an event is not JSON', { cause });
  }
  const parsed = chunkSchema.safeParse(value);
  if (!parsed.success) throw new AttemptError('malformed', 'ran', 'an event lacks its fields');
  return parsed.data;
}

/** Says whether an event carries a token. */
function hasToken(chunk: Chunk): boolean {
  return chunk.choices.some(
    ({ delta, text }) => (delta?.content ?? text ?? '') !== '' || delta?.tool_calls !== undefined,
  );
}

/** What reading a stream tells while it goes on. */
export interface Progress {
  onTokens(count: number): void;
  onBytes(): void;
  /** The caller does not read: nothing is read from the endpoint until the next bytes. */
  onPause(): void;
}

/** Reads an engine's stream to its end, passes it on, and returns the tokens it carried. */
export async function readStream(
  body: AsyncIterable<Buffer>,
  { attempt }: ActionOf<'dispatch'>,
  exchange: Exchange,
  progress: Progress,
): Promise<number> {
  const events: string[] = [];
  const decoder = new TextDecoder();
  const parser = createParser({
    onEvent: ({ data }) => events.push(data),
    onError: ({ type }) => {
      if (type !== 'max-buffer-size-exceeded') return;
      throw new AttemptError('malformed', 'ran', 'an event has no end');
    },
    maxBufferSize: MOST_EVENT_CHARACTERS,
  });
  let tokens = 0;
  for await (const bytes of body) {
    progress.onBytes();
    parser.feed(decoder.decode(bytes, { stream: true }));
    let arrived = 0;
    for (const data of events) {
      if (data === DONE) {
        if (arrived > 0) progress.onTokens(arrived);
        return tokens + arrived;
      }
      const chunk = parseChunk(data);
      if (chunk.id !== attempt.id) {
        throw new AttemptError('echo-mismatch', 'may-have-run', `answer to ${chunk.id}`);
      }
      if (hasToken(chunk)) arrived += 1;
      const room = exchange.writeChunk(chunk);
      if (room !== undefined) {
        progress.onPause();
        await room;
        progress.onBytes();
      }
    }
    events.length = 0;
    tokens += arrived;
    if (arrived > 0) progress.onTokens(arrived);
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
