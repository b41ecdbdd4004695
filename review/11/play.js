// LOST: streams whose answers end with their channels are cut at their callers, though the runner has
// sent them to the end.
import { Agent } from 'node:http';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

import { createConfig, HOST, KEY, sleep } from '../standins-3/deployment.js';
import { sendAttempt } from '../standins-3/project.js';
import { runCase } from '../standins-3/runCase.js';

/** Time to the first event, later than the route's aim and far from its deadline. */
const FIRST_EVENT_MS = 700;
const EVENTS = 10;
const EVENT_GAP_MS = 20;

const ROUTE_TIMEOUT_MS = 5000;
const PLAY_MS = 30_000;
const HANGUP_INTERVAL_MS = 5000;
const CALLERS = 10;
const PAUSE_MS = 50;

/** Half of the runners give one in twenty of their answers without a length. */
const RUNNER_IDS = ['i-7f3a91c2', 'i-02d9e6b4', 'i-5c1e07a2', 'i-e4402b7d'];
const UNFRAMED_RUNNERS = 2;
const UNFRAMED_INTERVAL = 20;

/** Bounds of the rule. */
const MAX_CUT_ON_KEPT_CHANNELS = 3;
const CONFIG_APPLY_MS = 2000;

const SERVICE = 'huvo11a';

const config = createConfig(7, {
  services: [SERVICE],
  routes: [
    {
      name: 'r-lookup',
      prefix: '/puxa403/',
      kind: 'idempotent',
      timeout_ms: 1000,
      target_latency_ms: 193,
      service: SERVICE,
      attempts: 2,
    },
    {
      name: 'r-digest',
      prefix: '/lohu930/',
      kind: 'streaming',
      timeout_ms: ROUTE_TIMEOUT_MS,
      target_latency_ms: 500,
      gap_target_ms: 400,
      service: SERVICE,
      attempts: 1,
      resumable: false,
    },
  ],
});

/**
 * Answers a look-up at once, and a digest as a stream. If `hasUnframed`, the end of some streams is that
 * of their channels.
 */
function createAnswer(hasUnframed, unframedIds) {
  let digests = 0;
  return async (request, response, { runner, attemptId }) => {
    const headers = runner.commonHeaders(attemptId);
    if (request.url.startsWith('/puxa403/')) {
      response.writeHead(200, { ...headers, 'Content-Length': 2 });
      response.end('ok');
      return;
    }
    digests += 1;
    const isUnframed = hasUnframed && digests % UNFRAMED_INTERVAL === 0;
    await sleep(FIRST_EVENT_MS);
    if (isUnframed) {
      unframedIds.add(attemptId);
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
    }
    response.writeHead(200, { ...headers, 'Content-Type': 'text/event-stream' });
    for (let event = 1; event <= EVENTS; event += 1) {
      response.write(`id: ${event}\ndata: ${attemptId} ${event} of ${EVENTS}\n\n`);
      if (event < EVENTS) await sleep(EVENT_GAP_MS);
    }
    response.end();
  };
}

/** A caller that keeps one channel: a look-up, then a digest on the same channel, again and again. */
async function call(machine, answers, endsAt) {
  const channel = new Agent({ keepAlive: true, maxSockets: 1 });
  const send = (method, path, body, deadlineMs, headers = {}) =>
    sendAttempt(machine.listen.front, {
      ...{ method, host: HOST, path, body, channel },
      headers: { Key: KEY, 'Deadline-Remaining': String(deadlineMs), ...headers },
    });
  while (Date.now() < endsAt) {
    await send('GET', '/puxa403/2f', null, 1000);
    const digest = { Model: 'm', 'Token-Usage': '9190,50' };
    const answer = await send('POST', '/lohu930/2f', 'wires', ROUTE_TIMEOUT_MS, digest);
    answers.push({ ...answer, machine });
    await sleep(PAUSE_MS);
  }
  channel.destroy();
}

async function play(deployment, record, isTroubled) {
  const unframedIds = new Set();
  await deployment.start({
    config,
    machineCount: 3,
    runners: RUNNER_IDS.map((id, index) => ({
      ...{ id, service: SERVICE, slots: 128 },
      answer: createAnswer(isTroubled && index < UNFRAMED_RUNNERS, unframedIds),
    })),
  });
  const { machines, runners } = deployment;
  const answers = [];
  const startedAt = Date.now();
  const endsAt = startedAt + PLAY_MS;
  const calls = machines.flatMap((machine) =>
    Array.from({ length: CALLERS }, () => call(machine, answers, endsAt)),
  );
  const hangups = [];
  for (;;) {
    await sleep(HANGUP_INTERVAL_MS);
    if (Date.now() + HANGUP_INTERVAL_MS > endsAt) break;
    record.write('SIGHUP to all machines; their settings files are as they were');
    hangups.push(Date.now());
    machines.forEach((machine) => machine.kill('SIGHUP'));
  }
  await Promise.all(calls);

  const runs = runners.flatMap((runner) => runner.runs);
  const lost = answers.filter((answer) => {
    const { id, status, text, isReused, sentAt, endedAt, machine } = answer;
    const run = runs.find(({ attemptId }) => attemptId === id);
    const events = (text.match(/^id: /gm) ?? []).length;
    const ran = run === undefined ? 'not run' : `run by ${run.runner}`;
    const form = unframedIds.has(id) ? 'without a length' : 'in chunks';
    const ended = run?.isAnswered === true ? `answered to the end ${form}` : 'not answered';
    const seen = `${status} ${answer.answer} (${answer.error ?? 'no error'}), ${events} events`;
    const channel = isReused ? 'kept' : 'new';
    const line = `${machine.name} digest ${id} on a ${channel} channel: ${ran}, ${ended}; caller: ${seen}`;
    record.write(`${line} after ${endedAt - sentAt} ms`, sentAt);
    return run?.isAnswered === true && answer.answer !== 'whole';
  });
  const kept = lost.filter(({ isReused }) => isReused);
  const planned = lost.filter(({ sentAt, endedAt }) =>
    hangups.some((at) => sentAt <= at + CONFIG_APPLY_MS && endedAt > at),
  );
  const unframed = answers.filter(({ id }) => unframedIds.has(id)).length;
  record.write(`digests: ${answers.length}, without a length: ${unframed}, cut: ${lost.length}`);
  const breaches = [];
  if (kept.length > MAX_CUT_ON_KEPT_CHANNELS) {
    breaches.push(`LOST: ${kept.length} requests of kept channels were passed on and not answered`);
  }
  if (planned.length > 0) {
    breaches.push(`LOST: ${planned.length} requests were cut around SIGHUP`);
  }
  if (answers.length < 100) throw new Error('too few requests');
  return breaches;
}

await runCase(dirname(fileURLToPath(import.meta.url)), play);
