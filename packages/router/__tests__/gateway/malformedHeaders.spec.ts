import { once } from 'node:events';
import { connect } from 'node:net';
import { text } from 'node:stream/consumers';

import { describe, it } from '@filbertlatch/core/testing';

import { splitAddress } from '../../src/gateway/address.js';
import {
  createSource,
  startEndpoint,
  startGateway,
  testConfiguration,
  waitUntil,
  call,
} from './fixtures.js';

async function sendRawRequest(address: string, header: string): Promise<string> {
  const socket = connect(splitAddress(address));
  await once(socket, 'connect');
  const lines = ['GET /open/ HTTP/1.1', 'Host: desk.example', 'x-request: r-1', header, '', ''];
  socket.write(lines.join('\r\n'));
  return text(socket);
}

describe('a header whose name is malformed', () => {
  ['If-Match : x', 'If Match: x', 'If-Match\t: x', ' : x', 'x(y): x'].forEach((header) => {
    it(`is refused, and no endpoint sees it: ${JSON.stringify(header)}`, async (t) => {
      const endpoint = await startEndpoint('e-1', (_request, response) => response.end());
      const gateway = await startGateway(createSource(testConfiguration, [endpoint.endpoint]));
      t.teardown(() => {
        gateway.gateway.stop();
        endpoint.close();
      });
      await waitUntil(async () => (await call(gateway.ready, '/')).status === 200);
      t.regex(await sendRawRequest(gateway.callers, header), /^HTTP\/1\.1 400 /);
      t.is(endpoint.requests.length, 0);
    });
  });
});
