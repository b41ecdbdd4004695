// MIXED: callers get a part of an answer as a whole one; its runner has broken it off and reset the channel.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

import { createConfig, HOST, KEY, sleep } from '../standins-3/deployment.js';
import { sendAttempt } from '../standins-3/project.js';
import { runCase } from '../standins-3/runCase.js';

const UPLOAD = Buffer.alloc(300_000, 'u');
const ANSWER_BYTES = 800;
const SENT_BYTES = 400;

/** Time from the end of what the runner sends to the close, which resets the channel. */
const CLOSE_MS = 30;

/** Half of the runners break one in twenty of their answers off. */
const RUNNER_IDS = ['i-7f3a91c2', 'i-02d9e6b4', 'i-5c1e07a2', 'i-e4402b7d'];
const FAULTY_RUNNERS = 2;
const FAULT_INTERVAL = 20;

const REQUESTS_PER_MACHINE = 120;
const CALLERS = 4;
const PAUSE_MS = 20;

const SERVICE = 'wuno96b';

const config = createConfig(7, {
  services: [SERVICE],
  routes: [
    {
      name: 'r-filing',
      prefix: '/pule252/',
      kind: 'non_idempotent',
      timeout_ms: 5000,
      target_latency_ms: 193,
      service: SERVICE,
      attempts: 1,
    },
  ],
});

/** Answers a filing; one that is not read breaks off, and its channel is closed with unread bytes. */
function createAnswer(brokenIds) {
  return async (request, response, { runner, attemptId, isEarly }) => {
    const headers = runner.commonHeaders(attemptId);
    const body = `filed ${attemptId} `.padEnd(ANSWER_BYTES, 'x');
    if (!isEarly) {
      response.writeHead(200, { ...headers, 'Content-Length': ANSWER_BYTES });
      response.end(body);
      return;
    }
    brokenIds.add(attemptId);
    const { socket } = response;
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
    response.writeHead(200, headers);
    response.write(body.slice(0, SENT_BYTES));
    socket.end();
    await sleep(CLOSE_MS);
    socket.destroy();
  };
}

/** Says of each request to a runner whether it answers before it has read the request, in vain. */
function createFault(isFaulty) {
  let filings = 0;
  return ({ method }) => {
    if (method !== 'POST') return false;
    filings += 1;
    return isFaulty && filings % FAULT_INTERVAL === 0;
  };
}

async function call(machine, answers) {
  const headers = { Key: KEY, 'Deadline-Remaining': '5000' };
  const attempt = { method: 'POST', host: HOST, path: '/pule252/2f', body: UPLOAD, headers };
  for (let sent = 0; sent < REQUESTS_PER_MACHINE / CALLERS; sent += 1) {
    answers.push({ ...(await sendAttempt(machine.listen.front, attempt)), machine });
    await sleep(PAUSE_MS);
  }
}

async function play(deployment, record, isTroubled) {
  const brokenIds = new Set();
  await deployment.start({
    config,
    machineCount: 3,
    runners: RUNNER_IDS.map((id, index) => ({
      ...{ id, service: SERVICE, slots: 12, answer: createAnswer(brokenIds) },
      isEarly: createFault(isTroubled && index < FAULTY_RUNNERS),
    })),
  });
  const answers = [];
  await Promise.all(
    deployment.machines.flatMap((machine) =>
      Array.from({ length: CALLERS }, () => call(machine, answers)),
    ),
  );
  answers.forEach(({ id, machine, status, answer, error, text, sentAt }) => {
    const form = brokenIds.has(id) ? 'broken off by its runner' : 'sound';
    const seen = `${status} ${answer} (${error ?? 'no error'}), ${text.length} bytes`;
    record.write(`${machine.name} filing ${id}: ${form}; caller: ${seen}`, sentAt);
  });
  const parts = answers.filter(
    ({ status, answer, text }) =>
      status === 200 && answer === 'whole' && text.length !== ANSWER_BYTES,
  );
  record.write(
    `filings: ${answers.length}, broken off: ${brokenIds.size}, taken for whole: ${parts.length}`,
  );
  return parts.map(({ id, text }) => `MIXED: ${id} is whole with ${text.length} bytes`);
}

await runCase(dirname(fileURLToPath(import.meta.url)), play);
