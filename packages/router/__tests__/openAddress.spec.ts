import { EventEmitter, once } from 'node:events';
import { createServer } from 'node:http';
import { connect } from 'node:net';

import { describe, it } from '@filbertlatch/core/testing';

import { openAddress, openServer } from '../src/openAddress.js';
import { findFreeAddress } from '../src/testing/index.js';

/** Opens an address that is refused once with a code; returns what was reported. */
async function openRefused(code: string): Promise<readonly string[]> {
  const socket = new EventEmitter();
  const answers = [() => socket.emit('error', Object.assign(new Error(code), { code }))];
  const reports: string[] = [];
  const open = () => (answers.pop() ?? (() => socket.emit('listening')))();
  await openAddress(socket, open, { address: 'a', report: (event) => reports.push(event) });
  return reports;
}

describe('a server that fails to accept', () => {
  it('listens again, each time, and keeps its connections', async (t) => {
    const address = await findFreeAddress();
    const [host, port] = address.split(':');
    const server = createServer((_request, response) => response.end('answer'));
    t.teardown(() => server.close());
    const reports: string[] = [];
    const report = (event: string) => reports.push(event);
    await openServer(server, host!, Number(port), { address, report });
    const kept = connect(Number(port), host);
    await once(kept, 'connect');
    for (const count of [1, 2]) {
      server.emit('error', Object.assign(new Error('accept'), { code: 'EMFILE' }));
      t.false(server.listening);
      await once(server, 'listening');
      t.is(reports.length, count);
      t.is(await (await fetch(`http://${address}`)).text(), 'answer');
    }
    kept.write('GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n');
    const [bytes] = (await once(kept, 'data')) as [Buffer];
    t.regex(bytes.toString(), /^HTTP\/1.1 200/);
  });
});

describe('an address that is refused', () => {
  ['EADDRINUSE', 'EADDRNOTAVAIL', 'EMFILE', 'ENFILE'].forEach((code) => {
    it(`is asked for again: ${code}`, async (t) => {
      t.deepEqual(await openRefused(code), ['address_refused', 'address_opened']);
    });
  });

  ['EACCES', 'EPERM', 'ENOTFOUND'].forEach((code) => {
    it(`is given up: ${code}`, async (t) => {
      await t.throwsAsync(openRefused(code), { code: 'address_unusable' });
    });
  });
});
