import { once } from 'node:events';
import { connect } from 'node:net';

import { describe, it } from '@filbertlatch/core/testing';
import { request } from 'undici';

import { createSource, startGateway, waitUntil } from './fixtures.js';

const CALL = JSON.stringify({ jsonrpc: '2.0', id: 1, method: 'publication', params: {} });

const send = async (control: string, body: string) => {
  const answer = await request(`http://${control}/rpc`, { method: 'POST', body });
  await answer.body.dump();
  return answer.statusCode;
};

describe('the control address', () => {
  it('refuses calls that are no JSON, too large or dear to parse, and answers others', async (t) => {
    const { control, gateway } = await startGateway(createSource(null, []));
    const bodies = ['{', JSON.stringify('a'.repeat(300_000)), `[${'{},'.repeat(40_000)}{}]`, CALL];
    const statuses = [];
    for (const body of bodies) statuses.push(await send(control, body));
    gateway.stop();
    t.deepEqual(statuses, [400, 413, 400, 200]);
  });

  it('refuses calls beside many that come slowly, and closes these', async (t) => {
    const { control, gateway } = await startGateway(createSource(null, []));
    const [host, port] = control.split(':');
    const sockets = Array.from({ length: 8 }, () => {
      const socket = connect(Number(port), host).resume();
      socket.on('error', () => {});
      socket.write('POST /rpc HTTP/1.1\r\nhost: vm\r\ncontent-length: 100\r\n\r\n{');
      return socket;
    });
    await waitUntil(async () => (await send(control, CALL)) === 503);
    await Promise.all(sockets.map((socket) => once(socket, 'close')));
    t.is(await send(control, CALL), 200);
    gateway.stop();
  });
});
