// An answer that is cut does not look whole to a caller of HTTP/1.0, for whom the end of its connection ends it.
import { connect } from 'node:net';

import { describe, it } from '@filbertlatch/core/testing';

import { createSource, startEndpoint, startGateway, testConfiguration } from './fixtures.js';

/** Sends a request of HTTP/1.0; resolves with what came, and with how its connection ended. */
async function callUnframed(address: string, path: string): Promise<{ text: string; end: string }> {
  const [host, port] = address.split(':');
  const socket = connect({ host, port: Number(port) });
  let text = '';
  let end = 'closed';
  socket.on('data', (bytes: Buffer) => {
    text += bytes.toString('latin1');
  });
  socket.on('error', (error: NodeJS.ErrnoException) => {
    end = error.code ?? error.message;
  });
  socket.write(
    `POST ${path} HTTP/1.0\r\nHost: desk.example\r\nX-Key: right-key\r\nX-Request: r\r\nContent-Length: 0\r\n\r\n`,
  );
  await new Promise((resolve) => {
    socket.once('close', resolve);
  });
  return { text, end };
}

describe('a stream to a caller of HTTP/1.0', () => {
  const outcomes = {
    'is reset when its endpoint breaks it off': true,
    'ends when it is whole': false,
  };
  Object.entries(outcomes).forEach(([title, isBroken]) => {
    it(title, async (t) => {
      const endpoint = await startEndpoint('e0', (request, response) => {
        request.resume();
        response.writeHead(200, {
          'x-request': request.headers['x-request'],
          'x-mac': 'mac',
          'content-type': 'text/event-stream',
        });
        response.write('id: 1\n\n');
        setTimeout(() => (isBroken ? response.destroy() : response.end('id: 2\n\n')), 100);
      });
      const source = createSource(testConfiguration, [endpoint.endpoint]);
      const { gateway, callers } = await startGateway(source);
      const { text, end } = await callUnframed(callers, '/stream/');
      gateway.stop();
      endpoint.close();
      t.regex(text, /^HTTP\/1\.1 200 /);
      t.is(text.includes('id: 2'), !isBroken);
      t.is(end, isBroken ? 'ECONNRESET' : 'closed');
    });
  });
});
