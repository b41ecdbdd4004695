import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http';

import type { Configuration } from '@filbertlatch/core';
import { describe, it } from '@filbertlatch/core/testing';

import {
  call,
  createRoute,
  createSource,
  startEndpoint,
  startGateway,
  testConfiguration,
  waitUntil,
  type CallerAnswer,
} from './fixtures.js';

const EVENTS = 5;

const formatEvents = (from: number, to: number) =>
  Array.from({ length: to - from + 1 }, (_, index) => {
    const id = from + index;
    return `id: ${id}\ndata: piece-${id}\n\n`;
  }).join('');

const WHOLE = formatEvents(1, EVENTS);

const configuration: Configuration = {
  ...testConfiguration,
  routes: [
    ...testConfiguration.routes,
    createRoute({
      ...{ id: 'patient', prefix: '/patient/', repetition: 'streaming' },
      ...{ isResumable: true, attempts: 4 },
    }),
  ],
};

const countAfter = (request: IncomingMessage) => Number(request.headers['x-after'] ?? 0);

function writeHead(
  request: IncomingMessage,
  response: ServerResponse,
  headers: Readonly<Record<string, string>>,
) {
  const own = { 'x-request': String(request.headers['x-request']), 'x-mac': 'mac-1' };
  response.writeHead(200, { ...own, ...headers });
}

const EVENT_STREAM = { 'content-type': 'text/event-stream; charset=utf-8' };

/** Breaks its stream off after two events. */
const breakOff: RequestListener = (request, response) => {
  const after = countAfter(request);
  writeHead(request, response, EVENT_STREAM);
  response.write(formatEvents(after + 1, after + 2));
  setTimeout(() => request.socket.destroy(), 10);
};

/** Goes on with a stream to its end. */
const goOn: RequestListener = (request, response) => {
  writeHead(request, response, EVENT_STREAM);
  response.end(formatEvents(countAfter(request) + 1, EVENTS));
};

/** Answers of status 200, signed and with their request's id, that are no stream of events. */
const strays: Readonly<Record<string, { headers: Record<string, string>; body: string }>> = {
  'a text': { headers: { 'content-type': 'text/plain' }, body: 'it broke\n\n' },
  'a JSON error': { headers: { 'content-type': 'application/json' }, body: '{"error":1}\n\n' },
  'a page': { headers: { 'content-type': 'text/html' }, body: '<p>\n\n</p>\n\n' },
  nothing: { headers: { 'content-type': 'text/plain' }, body: '' },
  'a type that begins alike': {
    headers: { 'content-type': 'text/event-streams' },
    body: 'it broke\n\n',
  },
  'an encoded stream': {
    headers: { ...EVENT_STREAM, 'content-encoding': 'gzip' },
    body: 'it broke\n\n',
  },
};

const unnamed = { headers: {}, body: 'it broke\n\n' };

/**
 * Sends a request to a gateway whose endpoints take turns with each run; with `takesUp` one that takes
 * up a stream after another.
 */
async function runTurns(
  path: string,
  turns: readonly RequestListener[],
  takesUp = false,
): Promise<{ answer: CallerAnswer; runs: number }> {
  let runs = 0;
  const takeTurn: RequestListener = (request, response) => {
    runs += 1;
    turns[Math.min(runs, turns.length) - 1]!(request, response);
  };
  const endpoints = await Promise.all(
    ['e0', 'e1', 'e2', 'e3'].map((id) => startEndpoint(id, takeTurn)),
  );
  const registered = endpoints.map(({ endpoint }) => endpoint);
  const { gateway, callers, ready } = await startGateway(createSource(configuration, registered));
  await waitUntil(async () => (await call(ready, '/ready')).status === 200);
  if (takesUp) await call(callers, path, { headers: { 'x-request': 'request-0' } });
  const headers: Record<string, string> = takesUp
    ? { 'x-after': '3', 'x-resumes': 'request-0' }
    : {};
  const answer = await call(callers, path, { method: 'POST', headers }).catch(() => ({
    ...{ status: 0, headers: {}, body: '', isComplete: false },
  }));
  gateway.stop();
  endpoints.forEach((endpoint) => endpoint.close());
  return { answer, runs };
}

for (const [title, { headers, body }] of Object.entries({ ...strays, 'no type': unnamed })) {
  const stray: RequestListener = (request, response) => {
    writeHead(request, response, headers);
    response.end(body);
  };

  describe(`an answer of 200 with ${title} in place of events`, () => {
    it('is not appended to a stream that has begun, nor ends it as complete', async (t) => {
      const { answer } = await runTurns('/resumed/', [breakOff, stray]);
      t.is(answer.body, formatEvents(1, 2));
      t.false(answer.isComplete);
    });

    it('is passed over for an endpoint that goes on with the stream', async (t) => {
      const { answer, runs } = await runTurns('/patient/', [breakOff, stray, goOn]);
      t.is(answer.body, WHOLE);
      t.true(answer.isComplete);
      t.is(runs, 3);
    });

    it('is not passed on as the rest of a stream that its caller takes up', async (t) => {
      const { answer, runs } = await runTurns('/resumed/', [breakOff, goOn, stray], true);
      t.is(runs, 4);
      t.false(answer.status === 200 && answer.isComplete, answer.body);
      t.false(answer.body.includes('broke'));
    });

    if (title === 'no type') return;

    it('is not passed on as a complete stream', async (t) => {
      for (const path of ['/stream/', '/resumed/']) {
        const { answer, runs } = await runTurns(path, [stray]);
        t.is(answer.status, 502);
        t.is(runs, path === '/stream/' ? 1 : 2);
      }
    });
  });
}

describe('an encoded answer', () => {
  const encode: RequestListener = (request, response) => {
    writeHead(request, response, { 'content-encoding': 'gzip' });
    response.end('it broke');
  };
  const answerWhole: RequestListener = (request, response) => {
    writeHead(request, response, {});
    response.end('whole');
  };

  it('is not passed on as the body that the caller asked for', async (t) => {
    t.is((await runTurns('/plain/', [encode])).answer.status, 502);
    t.is((await runTurns('/safe/', [encode, answerWhole])).answer.body, 'whole');
  });
});

describe('a stream of events that begins again instead of going on', () => {
  const beginAgain: RequestListener = (request, response) => {
    writeHead(request, response, EVENT_STREAM);
    // Apart, so that no event arrives whole.
    response.write(WHOLE.slice(0, 3));
    setTimeout(() => response.end(WHOLE.slice(3)), 20);
  };

  it('is not appended to a stream that has begun', async (t) => {
    const { answer } = await runTurns('/resumed/', [breakOff, beginAgain]);
    t.is(answer.body, formatEvents(1, 2));
    t.false(answer.isComplete);
  });

  it('is passed over for an endpoint that goes on with the stream', async (t) => {
    const { answer } = await runTurns('/patient/', [breakOff, beginAgain, goOn]);
    t.is(answer.body, WHOLE);
    t.true(answer.isComplete);
  });

  it('is not passed on as the rest of a stream that its caller takes up', async (t) => {
    const { answer } = await runTurns('/resumed/', [breakOff, goOn, beginAgain], true);
    t.is(answer.status, 502);
  });
});

describe('a stream of events', () => {
  const types = ['text/event-stream', 'Text/Event-Stream', 'text/event-stream;charset=utf-8'];
  for (const type of types) {
    it(`goes on whatever the case and parameters of its type (${type})`, async (t) => {
      const goOnAs: RequestListener = (request, response) => {
        writeHead(request, response, { 'content-type': type });
        response.end(formatEvents(countAfter(request) + 1, EVENTS));
      };
      const { answer } = await runTurns('/resumed/', [breakOff, goOnAs]);
      t.is(answer.body, WHOLE);
      t.true(answer.isComplete);
    });
  }
});
