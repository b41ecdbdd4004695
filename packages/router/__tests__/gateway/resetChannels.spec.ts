import { createServer, connect, type Socket } from 'node:net';
import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';

import { BEAT_INTERVAL_MS } from '@filbertlatch/core';
import { describe, it } from '@filbertlatch/core/testing';

import { checkLink } from '../../src/gateway/checkLink.js';
import { LoopDelay } from '../../src/gateway/loopDelay.js';
import { findFreeAddress } from '../../src/testing/index.js';
import { call, createSource, startEndpoint, startGateway, testConfiguration } from './fixtures.js';

/** Passes connections to a target, and resets those beyond a maximum, as a full runner does. */
async function startLimited(target: string, max: number) {
  const open = new Set<Socket>();
  let resets = 0;
  const [host, port] = target.split(':');
  const server = createServer((near) => {
    near.on('error', () => {});
    if (open.size >= max) {
      resets += 1;
      near.resetAndDestroy();
      return;
    }
    open.add(near);
    const far = connect({ host, port: Number(port) });
    far.on('error', () => near.destroy());
    near.on('close', () => {
      open.delete(near);
      far.destroy();
    });
    far.on('close', () => near.destroySoon());
    near.pipe(far).pipe(near);
  });
  const address = await findFreeAddress();
  server.listen(Number(address.split(':')[1]), '127.0.0.1');
  await once(server, 'listening');
  return {
    address,
    open,
    resets: () => resets,
    close: () => {
      server.close();
      open.forEach((socket) => socket.destroy());
    },
  };
}

describe('a full endpoint that resets further connections', () => {
  it('is not taken for one that cannot be reached', async (t) => {
    const endpoint = await startEndpoint('e0', () => {});
    const limited = await startLimited(endpoint.endpoint.address, 0);
    const loopDelay = new LoopDelay();
    const timer = setInterval(() => loopDelay.beat(), BEAT_INTERVAL_MS);
    const link = await checkLink(
      { ...endpoint.endpoint, address: limited.address },
      '/health',
      loopDelay,
    );
    clearInterval(timer);
    limited.close();
    endpoint.close();
    t.not(link, 'unreachable');
  });

  it('does not make its service lost while its streams flow', async (t) => {
    const events = 85;
    const endpoints = await Promise.all(
      [0, 1].map((index) =>
        startEndpoint(`e${index}`, (request, response) => {
          request.resume();
          response.on('error', () => {});
          response.writeHead(200, {
            'x-request': String(request.headers['x-request']),
            'x-mac': 'mac',
            'content-type': 'text/event-stream',
          });
          let event = 0;
          const timer = setInterval(() => {
            event += 1;
            response.write(`id: ${event}\ndata: x\n\n`);
            if (event < events) return;
            clearInterval(timer);
            response.end();
          }, 50);
          response.on('close', () => clearInterval(timer));
        }),
      ),
    );
    const limited = await Promise.all(
      endpoints.map(({ endpoint }) => startLimited(endpoint.address, 2)),
    );
    const seen = endpoints.map(({ endpoint }, index) => ({
      ...endpoint,
      version: 'v1',
      address: limited[index]!.address,
    }));
    const vm = await startGateway(createSource(testConfiguration, seen));
    const headers = (id: string) => ({ 'x-request': id, 'x-remaining': '5000' });
    const send = (path: string, id: string) =>
      call(vm.callers, path, { method: 'POST', headers: headers(id) });
    await sleep(300);
    const streams = Array.from({ length: 4 }, (_, index) => send('/resumed/', `s${index}`));
    await sleep(700);
    const further = Array.from({ length: 6 }, (_, index) => send('/safe/', `f${index}`));
    let lost = 0;
    const changes: string[] = [];
    for (let looks = 0; looks < 35; looks += 1) {
      await sleep(100);
      const metrics = (await call(vm.control, '/metrics', { method: 'GET' })).body;
      const line = /contact_changes_total\{change="lost"\} (\d+)/.exec(metrics);
      lost = Math.max(lost, Number(line?.[1] ?? 0));
      const regained = /contact_changes_total\{change="regained"\} (\d+)/.exec(metrics);
      const change = `lost ${line?.[1] ?? 0} regained ${regained?.[1] ?? 0}`;
      if (!(changes.at(-1) ?? '').endsWith(change)) changes.push(`${looks * 100} ms: ${change}`);
    }
    const answers = await Promise.all(streams);
    const others = await Promise.all(further);
    t.log({
      changes,
      lost,
      resets: limited.map(({ resets }) => resets()),
      complete: answers.filter(({ isComplete }) => isComplete).length,
      others: others.map(({ status, body }) => `${status} ${body}`.slice(0, 60)),
    });
    vm.gateway.stop();
    limited.forEach((server) => server.close());
    endpoints.forEach((endpoint) => endpoint.close());
    t.is(lost, 0);
  });
});
