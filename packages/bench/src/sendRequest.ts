import { request, type Dispatcher } from 'undici';
import { v7 as createKey } from 'uuid';

import { apiKeyOf } from './createFleet.js';
import type { Load } from './scenario.js';

/** Characters of a prompt that count as one token. */
const CHARACTERS_PER_TOKEN = 4;

/** Outcome of one request as its caller saw it; times in milliseconds. */
export interface Sample {
  readonly class: string;
  /** The requested model, or `service:NAME /path`. */
  readonly target: string;
  readonly streamed: boolean;
  /** When it was due, on the clock of `performance.now()`; a delay in sending counts as latency. */
  readonly startedAt: number;
  /** HTTP status; 0 when the connection failed or the caller left. */
  readonly status: number;
  /** Time to the first token; null unless a whole answer was streamed. */
  readonly firstTokenMs: number | null;
  /** Time to the end of the answer, or to the failure. */
  readonly wholeMs: number;
  readonly promptTokens: number;
  /** Output tokens requested of the stand-in engine; 1 for a service. */
  readonly askedTokens: number;
  /** Output tokens of a whole answer; 0 for any other, 1 for a service. */
  readonly tokens: number;
  readonly whole: boolean;
  /** Code and verdict of the error; null for a whole answer, or without an error that carries them. */
  readonly error: { readonly code: string; readonly run: string } | null;
}

/** Random lengths of one request in tokens, and when it is due. */
export interface DrawnRequest {
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** On the clock of `performance.now()`; absent: now. */
  readonly arrivedAt?: number;
}

/** Returns how long a caller of a class waits before it leaves, in milliseconds; null: for ever. */
export type Patience = (classId: string) => number | null;

function buildCall(load: Load, draw: DrawnRequest) {
  const headers = {
    authorization: `Bearer ${load.key ?? apiKeyOf(load.account)}`,
    'filbertlatch-class': load.class,
    'content-type': 'application/json',
    ...(load.keyed ? { 'idempotency-key': createKey() } : {}),
  };
  const service = load.target.match(/^service:(\S+) (\S+)$/);
  if (service !== null) {
    const path = `/services/${service[1]}${service[2]}`;
    return { method: load.method, path, headers, body: load.method === 'GET' ? null : '{}' };
  }
  const content = 'x'.repeat(draw.promptTokens * CHARACTERS_PER_TOKEN);
  const body = JSON.stringify({
    model: load.target,
    messages: [{ role: 'user', content }],
    stream: load.streamed,
    standin: { tokens: draw.outputTokens },
  });
  return { method: 'POST', path: '/v1/chat/completions', headers, body };
}

interface ReadBody {
  firstTokenMs: number | null;
  text: string;
}

async function readBody(response: Dispatcher.ResponseData, startedAt: number): Promise<ReadBody> {
  const reading: ReadBody = { firstTokenMs: null, text: '' };
  const decoder = new TextDecoder();
  for await (const bytes of response.body) {
    reading.firstTokenMs ??= performance.now() - startedAt;
    reading.text += decoder.decode(bytes, { stream: true });
  }
  return reading;
}

function findError(text: string): Sample['error'] {
  const data = text.match(/"code":"(\w+)","run":"([\w-]+)"/);
  return data === null ? null : { code: data[1]!, run: data[2]! };
}

function countTokens(load: Load, text: string): number {
  if (load.target.startsWith('service:')) return 1;
  if (!load.streamed) return Number(text.match(/"completion_tokens":(\d+)/)?.[1] ?? 0);
  return text.split('"content":" w').length - 1;
}

function isWhole(load: Load, status: number, text: string): boolean {
  if (status !== 200) return false;
  return !load.streamed || load.target.startsWith('service:') || text.includes('data: [DONE]');
}

/** Sends one request as a caller would; resolves with its outcome and does not reject. */
export async function sendRequest(
  base: string,
  load: Load,
  draw: DrawnRequest,
  dispatcher: Dispatcher,
  patienceMs: number | null = null,
): Promise<Sample> {
  const startedAt = draw.arrivedAt ?? performance.now();
  const { path, ...call } = buildCall(load, draw);
  const isService = load.target.startsWith('service:');
  const streamed = load.streamed && !isService;
  const common = {
    class: load.class,
    target: load.target,
    streamed,
    startedAt,
    promptTokens: isService ? 1 : draw.promptTokens,
    askedTokens: isService ? 1 : draw.outputTokens,
  };
  const signal = patienceMs === null ? null : AbortSignal.timeout(patienceMs);
  try {
    const response = await request(`${base}${path}`, { ...call, dispatcher, signal });
    const { firstTokenMs, text } = await readBody(response, startedAt);
    const whole = isWhole(load, response.statusCode, text);
    return {
      ...common,
      status: response.statusCode,
      firstTokenMs: whole && streamed ? firstTokenMs : null,
      wholeMs: performance.now() - startedAt,
      tokens: whole ? countTokens(load, text) : 0,
      whole,
      error: whole ? null : findError(text),
    };
  } catch {
    const left = { code: 'caller_left', run: 'unknown' };
    return {
      ...common,
      status: 0,
      firstTokenMs: null,
      wholeMs: performance.now() - startedAt,
      tokens: 0,
      whole: false,
      error: signal?.aborted === true ? left : null,
    };
  }
}
