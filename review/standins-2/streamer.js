// Stand-in of a runner that answers with streams. With `isUnframed` they have neither a length nor
// chunks and end with their channel. It is a process of its own; each start is a new lifetime, which may
// have the id of the one before. Told to leave it says so in all its answers, and serves on.
import { createServer } from 'node:http';

import { listenAgain } from '@filbertlatch/platform/soak/standins/ports.js';

const options = JSON.parse(process.argv[2]);
const { id, address, born, healthPath, events, gapMs, slots, firstMs = 0 } = options;

let running = 0;

let isLeaving = false;

const leavingHeaders = () => (isLeaving ? { 'Server-Leaving': '1' } : {});

function tell(message) {
  process.send?.({ at: Date.now(), runner: id, born, ...message });
}

function wait(ms) {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

function answerHealth(response) {
  const headers = { 'Instance-Id': id, ...leavingHeaders(), 'Content-Length': 0 };
  response.writeHead(isLeaving ? 503 : 200, headers).end();
}

function answerReport(response) {
  const load = { waiting: 0, running, kv_used: 0, kv_total: 600_000, handles: 0 };
  response.writeHead(200, { 'Content-Type': 'application/json' });
  response.end(JSON.stringify({ stage: 'both', models: [], busy: false, seq: 0, born, ...load }));
}

async function run(request, response) {
  const {
    'attempt-id': attemptId,
    'expect-instance': expected,
    'last-event-id': last,
  } = request.headers;
  if (expected !== undefined && expected !== id) {
    response.writeHead(421, { 'Not-Executed': '1', 'Content-Length': 0 }).end();
    return;
  }
  if (attemptId === undefined) {
    response.writeHead(400, { 'Not-Executed': '1', 'Content-Length': 0 }).end();
    return;
  }
  running += 1;
  tell({ kind: 'run', attemptId });
  response.on('close', () => {
    running -= 1;
    tell({ kind: 'ended', attemptId, isWhole: response.writableFinished });
  });
  if (options.isUnframed) {
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
  }
  await wait(firstMs);
  response.writeHead(200, {
    ...leavingHeaders(),
    'Attempt-Id': attemptId,
    'Response-Signature': `${id}.${attemptId}`,
    'Server-Load': `${running},0,${slots}`,
    'Content-Type': 'text/event-stream',
  });
  for (let event = Number(last ?? 0) + 1; event <= events; event += 1) {
    if (response.destroyed) return;
    response.write(`id: ${event}\ndata: ${attemptId} ${event} of ${events}\n\n`);
    tell({ kind: 'event', attemptId, event });
    if (event < events) await wait(gapMs);
  }
  response.end();
}

const server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
  request.resume();
  request.on('end', () => {
    if (request.method === 'GET' && request.url === healthPath) answerHealth(response);
    else if (request.method === 'GET' && request.url === '/report') answerReport(response);
    else void run(request, response);
  });
});

process.on('message', ({ kind }) => {
  if (kind === 'leave') isLeaving = true;
});
process.on('disconnect', () => {
  server.close();
  server.closeAllConnections();
});

await listenAgain(server, address);
tell({ kind: 'listening' });
