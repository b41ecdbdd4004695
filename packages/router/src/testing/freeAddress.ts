import { once } from 'node:events';
import { connect, createServer, type Server } from 'node:net';

const HOST = '127.0.0.1';

/**
 * Ports below those that the system gives to outgoing connections, one of which could take a port
 * that is free for a moment; the soak's stand-ins have those from 20,000 on.
 */
const FIRST_PORT = 10_000;

/** Ports of one thread; another could take a port whose server is down for a moment. */
const PORTS_PER_BLOCK = 250;
const BLOCK_COUNT = 40;

/** Listens on a port; null when it is in use. */
async function listenOnPort(port: number): Promise<Server | null> {
  const server = createServer();
  server.listen(port, HOST);
  try {
    await once(server, 'listening');
    return server;
  } catch {
    return null;
  }
}

/** Takes a block of ports until the end of the thread, by listening on its first port. */
async function takePortBlock(): Promise<number> {
  const firstBlock = Math.floor(Math.random() * BLOCK_COUNT);
  for (let step = 0; step < BLOCK_COUNT; step += 1) {
    const block = (firstBlock + step) % BLOCK_COUNT;
    const guard = await listenOnPort(FIRST_PORT + block * PORTS_PER_BLOCK);
    if (guard !== null) {
      guard.unref();
      return FIRST_PORT + block * PORTS_PER_BLOCK;
    }
  }
  throw new Error('no block of ports is free');
}

let portBlock: Promise<number> | null = null;

let portsTaken = 0;

/**
 * Connects to a port to see whether it is free. A socket that listens on it would be copied into a
 * process that another thread forks, which holds the port until it runs its own program.
 */
async function isFree(port: number): Promise<boolean> {
  const socket = connect(port, HOST);
  try {
    await once(socket, 'connect');
    return false;
  } catch {
    return true;
  } finally {
    socket.destroy();
  }
}

/** Returns a loopback address, `IP:PORT`, that no other test gets soon and that is free now. */
export async function findFreeAddress(): Promise<string> {
  portBlock ??= takePortBlock();
  const firstPort = await portBlock;
  for (;;) {
    portsTaken += 1;
    const port = firstPort + 1 + (portsTaken % (PORTS_PER_BLOCK - 1));
    if (await isFree(port)) return `${HOST}:${port}`;
  }
}
