import { once } from 'node:events';
import { connect } from 'node:net';
import { text } from 'node:stream/consumers';

import { describe, it } from '@filbertlatch/core/testing';
import { createService } from '@filbertlatch/standins';

import { createTestRouter } from './createTestRouter.js';
import { createTestTable, API_KEY } from './createTestTable.js';

const AUTHORIZATION = `Authorization: Bearer ${API_KEY}`;

async function sendRawRequest(
  callerUrl: string,
  lines: readonly string[],
  body = '',
): Promise<string> {
  const socket = connect(Number(new URL(callerUrl).port), '127.0.0.1');
  await once(socket, 'connect');
  socket.write([...lines, 'Connection: close', '', body].join('\r\n'));
  return text(socket);
}

const refusedRequests: readonly (readonly [string, readonly string[], string?])[] = [
  ['encoded parent segments', ['GET /services/stock/%2e%2e/%2e%2e/admin HTTP/1.1']],
  ['a plain parent segment', ['GET /services/stock/../other/x HTTP/1.1']],
  ['a parent segment that is encoded twice', ['GET /services/stock/a%252e%252e/b HTTP/1.1']],
  ['an encoded slash', ['GET /services/stock/a%2fb HTTP/1.1']],
  ['an encoded backslash', ['GET /services/stock/a%5cb HTTP/1.1']],
  ['an encoded line end', ['GET /services/stock/a%0d%0ab HTTP/1.1']],
  ['an empty segment', ['GET /services/stock//a HTTP/1.1']],
  ['an encoded service name', ['GET /services/st%6fck/a HTTP/1.1']],
  ['the method TRACE', ['TRACE /services/stock/a HTTP/1.1']],
  [
    'two content lengths',
    ['POST /services/stock/a HTTP/1.1', 'Content-Length: 1', 'Content-Length: 2'],
    'xx',
  ],
  [
    'a content length beside a chunked body',
    ['POST /services/stock/a HTTP/1.1', 'Content-Length: 5', 'Transfer-Encoding: chunked'],
    '0\r\n\r\n',
  ],
  [
    'an unknown transfer encoding',
    ['POST /services/stock/a HTTP/1.1', 'Transfer-Encoding: xchunked'],
    '0\r\n\r\n',
  ],
  ['a space before the colon', ['GET /services/stock/a HTTP/1.1', 'If-Match : x']],
  [
    'headers that are too long',
    ['GET /services/stock/a HTTP/1.1', `X-Long: ${'x'.repeat(20_000)}`],
  ],
];

describe('a request to a service', () => {
  refusedRequests.forEach(([title, lines, body]) => {
    it(`is refused with ${title}, and no service sees it`, async (t) => {
      const service = await createService({ id: 's-1', name: 'stock', answerMs: 0 });
      t.teardown(() => service.stop());
      const router = await createTestRouter(t, createTestTable({ service: service.url }));
      const [first, ...rest] = lines;
      const all = [first!, 'Host: test', AUTHORIZATION, ...rest];
      const answer = await sendRawRequest(router.callerUrl, all, body);
      t.regex(answer, /^HTTP\/1\.1 4\d\d /);
      t.deepEqual(service.runs, []);
    });
  });

  it('reaches it under an id of the router, not the one that the caller chose', async (t) => {
    const seen: (string | undefined)[] = [];
    const service = await createService({ id: 's-1', name: 'stock', answerMs: 0 });
    t.teardown(() => service.stop());
    const router = await createTestRouter(t, createTestTable({ service: service.url }));
    const lines = ['GET /services/stock/a?b=1 HTTP/1.1', 'Host: test', AUTHORIZATION];
    lines.push('X-Request-Id: chosen-by-the-caller', 'X-Priority: 0');
    const answer = await sendRawRequest(router.callerUrl, lines);
    t.regex(answer, /^HTTP\/1\.1 200 /);
    seen.push(...service.runs.map((run) => run.id));
    t.is(seen.length, 1);
    t.regex(seen[0]!, /^a-vm-1-/);
    t.notRegex(answer, /chosen-by-the-caller/);
  });
});
