import { createSocket } from 'node:dgram';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { EndlessServer, endlessAnswers, playMeasured } from '../../src/testing/index.js';
import { call, createSource, startEndpoint, startGateway, testConfiguration } from './fixtures.js';

const PLAY_MS = 2500;
const ENDLESS = 8;
const GOSSIP_MS = 50;

/** What requests to a sound endpoint got meanwhile. */
export interface OtherRequests {
  readonly sent: number;
  readonly served: number;
}

function createNews(id: string, address: string): string {
  const params = {
    vmId: id,
    address,
    isLeaving: false,
    hasStore: true,
    configurationVersion: 99,
    directoryRevision: 99,
    ...{ loads: [], paces: [], borders: [], demand: [], reads: [], members: [], crashes: [] },
  };
  return JSON.stringify({ jsonrpc: '2.0', method: 'news', params });
}

function tellNews(control: string, addresses: readonly string[]): () => void {
  const socket = createSocket('udp4');
  const [host, port] = control.split(':');
  const timer = setInterval(() => {
    addresses.forEach((address, index) => {
      socket.send(createNews(`peer-${index}`, address), Number(port), host);
    });
  }, GOSSIP_MS);
  return () => {
    clearInterval(timer);
    socket.close();
  };
}

const CALL_HEAD = 'POST /rpc HTTP/1.1\r\nhost: vm\r\ncontent-type: application/json\r\n';
const values = '{},'.repeat(20_000);

/** Calls of a peer, a part of which goes on without end. */
const endlessCalls: Readonly<Record<string, readonly [begin: string, block: string]>> = {
  'chunks of a call': [
    `${CALL_HEAD}transfer-encoding: chunked\r\n\r\n2\r\n["\r\n`,
    `${values.length.toString(16)}\r\n${values}\r\n`,
  ],
  'a call with a length': [`${CALL_HEAD}content-length: 9000000000000\r\n\r\n[`, values],
};

/** Sends calls without end, each on a connection of its own. */
function sendCalls(control: string, [begin, block]: readonly [string, string]): () => void {
  const [host, port] = control.split(':');
  const sockets = Array.from({ length: ENDLESS }, () => {
    const socket = connect(Number(port), host);
    const writeOn = () => {
      while (!socket.destroyed && socket.write(block));
    };
    socket.on('error', () => {});
    socket.on('drain', writeOn);
    socket.resume();
    socket.write(begin);
    writeOn();
    return socket;
  });
  return () => sockets.forEach((socket) => socket.destroy());
}

/** Plays a gateway to which endpoints or peers send one part of an answer or call without end. */
async function play(who: string, part: string): Promise<OtherRequests> {
  const servers = Array.from(
    { length: ENDLESS },
    () => new EndlessServer(endlessAnswers[part] ?? endlessAnswers.headers!),
  );
  const addresses = await Promise.all(servers.map((server) => server.start()));
  const sound = await startEndpoint('sound', (request, response) => {
    response.writeHead(200, { 'x-request': request.headers['x-request'], 'x-mac': 'mac' });
    response.end('sound');
  });
  const configuration = {
    ...testConfiguration,
    routes: testConfiguration.routes.map((route) =>
      route.id === 'safe' ? { ...route, split: [{ serviceId: 'apart', weight: 1 }] } : route,
    ),
    services: new Map([
      ...testConfiguration.services,
      ['apart', { id: 'apart', healthPath: '/health', maxConnections: 64, engine: null }],
    ]),
  };
  const endless = addresses.map((address, index) => ({
    ...sound.endpoint,
    ...{ id: `e${index}`, address },
  }));
  const endpoints = [
    ...(who === 'endpoints' ? endless : []),
    { ...sound.endpoint, serviceId: 'apart' },
  ];
  const { callers, control } = await startGateway(createSource(configuration, endpoints));
  const stopNews = who === 'peers' ? tellNews(control, addresses) : () => {};
  const endlessCall = endlessCalls[part];
  const stopCalls = endlessCall === undefined ? () => {} : sendCalls(control, endlessCall);
  const endsAt = performance.now() + PLAY_MS;
  const headers = { 'x-request': 'request' };
  let sent = 0;
  let served = 0;
  const sendOthers = async () => {
    while (performance.now() < endsAt) {
      sent += 1;
      const answer = await call(callers, '/safe/1', { headers }).catch(() => null);
      if (answer?.status === 200) served += 1;
      await sleep(5);
    }
  };
  // Each fails, and its endpoint is checked.
  const sendFailing = async () => {
    while (performance.now() < endsAt) {
      await call(callers, '/plain/1', { headers }).catch(() => null);
      await sleep(50);
    }
  };
  await Promise.all([sendOthers(), ...(who === 'endpoints' ? endless.map(sendFailing) : [])]);
  stopNews();
  stopCalls();
  return { sent, served };
}

void playMeasured((who, part) => play(who, part));
