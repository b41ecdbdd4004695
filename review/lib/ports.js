import { createServer } from 'node:net';

const HOST = '127.0.0.1';

/** Lets a server listen on a free port of the loopback interface; returns `IP:PORT`. */
export async function listenOnFreePort(server) {
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, HOST, resolve);
  });
  return `${HOST}:${server.address().port}`;
}

/** Lets a server listen on an address that another one had. */
export async function listenAgain(server, address) {
  const [host, port] = address.split(':');
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(Number(port), host, resolve);
  });
}

/** Finds free ports; returns them as `IP:PORT`. */
export async function findFreeAddresses(count) {
  const servers = Array.from({ length: count }, () => createServer());
  const addresses = await Promise.all(servers.map((server) => listenOnFreePort(server)));
  await Promise.all(
    servers.map(
      (server) =>
        new Promise((resolve) => {
          server.close(resolve);
        }),
    ),
  );
  return addresses;
}
