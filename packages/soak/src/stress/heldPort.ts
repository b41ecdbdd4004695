import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { createServer } from 'node:net';

import type { Gateway } from '#standins';

import type { HeldPort } from './draw.js';

/** Takes a port of a VM whose process has ended; returns what frees it. Rejects if it is in use. */
export async function takePort(
  { listen }: Pick<Gateway, 'listen'>,
  port: HeldPort,
): Promise<() => void> {
  const address = port === 'datagrams' ? listen.control : listen[port];
  const [host = '', number] = address.split(':');
  if (port === 'datagrams') {
    const socket = createSocket('udp4');
    socket.bind(Number(number), host);
    await once(socket, 'listening');
    return () => socket.close();
  }
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.resetAndDestroy();
  });
  server.listen(Number(number), host);
  await once(server, 'listening');
  return () => server.close();
}
