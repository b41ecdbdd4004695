import { request, type Dispatcher } from 'undici';

import { keyOf } from '../createFleet.js';

/** One request of a fault experiment, which may be sent more than once. */
export interface KeyedRequest {
  readonly kind: 'hold' | 'headline' | 'bulletin';
  /** Idempotency-Key, and the mark by which runs are counted at the stand-ins. */
  readonly key: string;
  readonly tokens: number;
  readonly prompt: string;
}

/** What one sending of a request came to. */
export interface Sending {
  readonly key: string;
  readonly kind: KeyedRequest['kind'];
  /** When its final answer was known, of the monotonic clock, in milliseconds. */
  readonly endedAt: number;
  readonly elapsedMs: number;
  readonly result: 'whole' | 'error' | 'cut' | 'crossed' | 'doubled' | 'no-answer';
  /** The verdict of an error. */
  readonly run: string | null;
}

const classes = {
  hold: 'reservation-hold',
  headline: 'cyclone-headline',
  bulletin: 'bulletin',
} as const;

function buildCall({ kind, key, tokens, prompt }: KeyedRequest) {
  if (kind === 'hold') {
    return { path: '/services/stock/holds', body: JSON.stringify({ unit: key }) };
  }
  const body = JSON.stringify({
    model: kind === 'headline' ? 'desk' : 'drafting',
    stream: true,
    messages: [{ role: 'user', content: prompt }],
    standin: { tokens, tag: key },
  });
  return { path: '/v1/chat/completions', body };
}

function judgeStream(text: string, tokens: number): Sending['result'] {
  const words = [...text.matchAll(/"content":" w(\d+)"/g)].map((match) => Number(match[1]));
  if (new Set(words).size !== words.length) return 'doubled';
  if (words.some((word, index) => word !== index)) return 'cut';
  if (text.includes('event: error')) return 'error';
  return text.includes('[DONE]') && words.length === tokens ? 'whole' : 'cut';
}

function judge(
  status: number,
  text: string,
  { kind, key, tokens }: KeyedRequest,
): Sending['result'] {
  if (status !== 200) return 'error';
  if (kind !== 'hold') return judgeStream(text, tokens);
  return text.includes(key) ? 'whole' : 'crossed';
}

/** Sends a request to one VM and tells what came of it. */
export async function sendKeyed(
  base: string,
  asked: KeyedRequest,
  dispatcher: Dispatcher,
): Promise<Sending> {
  const startedAt = performance.now();
  const { key, kind } = asked;
  const { path, body } = buildCall(asked);
  const headers = {
    authorization: `Bearer ${keyOf(kind === 'hold' ? 'dealer-cairo' : 'station-port-louis')}`,
    'filbertlatch-class': classes[kind],
    'content-type': 'application/json',
    'idempotency-key': key,
  };
  const end = (result: Sending['result'], run: string | null): Sending => {
    const endedAt = performance.now();
    return { key, kind, endedAt, elapsedMs: endedAt - startedAt, result, run };
  };
  try {
    const response = await request(`${base}${path}`, { method: 'POST', headers, body, dispatcher });
    const text = await response.body.text();
    const result = judge(response.statusCode, text, asked);
    return end(result, result === 'error' ? (text.match(/"run":"([\w-]+)"/)?.[1] ?? null) : null);
  } catch {
    return end('no-answer', null);
  }
}
