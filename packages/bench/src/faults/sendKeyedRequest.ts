import { request, type Dispatcher } from 'undici';

import { apiKeyOf } from '../createFleet.js';

/** One request of a fault experiment, which may be sent more than once. */
export interface KeyedRequest {
  readonly kind: 'hold' | 'headline' | 'bulletin';
  /** Idempotency-Key; also the tag by which runs are counted at the stand-ins. */
  readonly key: string;
  /** Output tokens that the stand-in engine generates. */
  readonly tokens: number;
  readonly prompt: string;
}

/** One sending of a request and its result. */
export interface Sending {
  readonly key: string;
  readonly kind: KeyedRequest['kind'];
  /** When its result was known, on the clock of `performance.now()`, in milliseconds. */
  readonly endedAt: number;
  readonly elapsedMs: number;
  /**
   * `cut`: the answer ended early or lost a token; `crossed`: it belongs to another key; `doubled`:
   * it holds a token twice; `no-answer`: the connection failed.
   */
  readonly result: 'whole' | 'error' | 'cut' | 'crossed' | 'doubled' | 'no-answer';
  /** The error's verdict on whether the request ran; null without an error that carries one. */
  readonly run: string | null;
}

const classIdByKind = {
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

function classifyStream(text: string, tokens: number): Sending['result'] {
  const tokenNumbers = [...text.matchAll(/"content":" w(\d+)"/g)].map((match) => Number(match[1]));
  if (new Set(tokenNumbers).size !== tokenNumbers.length) return 'doubled';
  if (tokenNumbers.some((number, index) => number !== index)) return 'cut';
  if (text.includes('event: error')) return 'error';
  return text.includes('[DONE]') && tokenNumbers.length === tokens ? 'whole' : 'cut';
}

function classifyAnswer(
  status: number,
  text: string,
  { kind, key, tokens }: KeyedRequest,
): Sending['result'] {
  if (status !== 200) return 'error';
  if (kind !== 'hold') return classifyStream(text, tokens);
  return text.includes(key) ? 'whole' : 'crossed';
}

/** Sends a request to one VM and classifies the answer; does not reject. */
export async function sendKeyedRequest(
  base: string,
  keyedRequest: KeyedRequest,
  dispatcher: Dispatcher,
): Promise<Sending> {
  const startedAt = performance.now();
  const { key, kind } = keyedRequest;
  const { path, body } = buildCall(keyedRequest);
  const headers = {
    authorization: `Bearer ${apiKeyOf(kind === 'hold' ? 'dealer-cairo' : 'station-port-louis')}`,
    'filbertlatch-class': classIdByKind[kind],
    'content-type': 'application/json',
    'idempotency-key': key,
  };
  const createSending = (result: Sending['result'], run: string | null): Sending => {
    const endedAt = performance.now();
    return { key, kind, endedAt, elapsedMs: endedAt - startedAt, result, run };
  };
  try {
    const response = await request(`${base}${path}`, { method: 'POST', headers, body, dispatcher });
    const text = await response.body.text();
    const result = classifyAnswer(response.statusCode, text, keyedRequest);
    return createSending(
      result,
      result === 'error' ? (text.match(/"run":"([\w-]+)"/)?.[1] ?? null) : null,
    );
  } catch {
    return createSending('no-answer', null);
  }
}
