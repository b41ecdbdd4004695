// DRAIN: a runner that has left gets requests long after `drain_ms`, which are cut when it exits.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

import { createConfig, HOST, KEY, sleep } from '../standins-3/deployment.js';
import { sendAttempt } from '../standins-3/project.js';
import { runCase } from '../standins-3/runCase.js';

const WORK_MS = 600;
const ROUTE_TIMEOUT_MS = 5000;

/** Bounds of the rule. */
const DRAIN_MS = 2000;
const STABLE_WINDOW_MS = 3000;

/** When the runner's entry is removed, and when it exits; after the silence began. */
const LEAVE_MS = 500;
const EXIT_MS = 4300;

/** When callers come back; by then all machines are in touch, and have read what they had missed. */
const RETURN_MS = STABLE_WINDOW_MS + 800;

const REQUESTS_PER_MACHINE = 9;

const SERVICE = 'wuno96b';

const config = createConfig(7, {
  services: [SERVICE],
  routes: [
    {
      name: 'r-filing',
      prefix: '/pule252/',
      kind: 'non_idempotent',
      timeout_ms: ROUTE_TIMEOUT_MS,
      target_latency_ms: 1000,
      service: SERVICE,
      attempts: 1,
    },
  ],
});

async function answerFiling(request, response, { runner, attemptId }) {
  await sleep(WORK_MS);
  const body = `filed ${attemptId}`;
  response.writeHead(200, {
    ...runner.commonHeaders(attemptId),
    'Content-Length': Buffer.byteLength(body),
  });
  response.end(body);
}

/** Sends requests to each machine at once, each on a channel of its own. */
function sendAll(machines) {
  const headers = { Key: KEY, 'Deadline-Remaining': String(ROUTE_TIMEOUT_MS) };
  const attempt = { method: 'POST', host: HOST, path: '/pule252/2f', body: 'story', headers };
  return machines.flatMap((machine) =>
    Array.from({ length: REQUESTS_PER_MACHINE }, async () => ({
      ...(await sendAttempt(machine.listen.front, attempt)),
      machine,
    })),
  );
}

async function play(deployment, record, isTroubled) {
  await deployment.start({
    config,
    machineCount: 3,
    runners: ['i-7f3a91c2', 'i-02d9e6b4', 'i-5c1e07a2'].map((id) => ({
      ...{ id, service: SERVICE, slots: 12, answer: answerFiling },
    })),
  });
  const { machines, runners, storeLink } = deployment;
  const warm = await Promise.all(sendAll(machines));
  record.write(
    `before: ${warm.filter(({ status }) => status === 200).length} of ${warm.length} served`,
  );
  // No requests for some seconds from here on.
  await sleep(STABLE_WINDOW_MS);

  const silencedAt = Date.now();
  if (isTroubled) {
    record.write(`${storeLink.silence()} open channels to the store fall silent; new ones work`);
  }
  await sleep(LEAVE_MS);
  const [leaving] = runners;
  leaving.leave();
  const leftAt = Date.now();
  record.write(`the store has removed the entry of ${leaving.id}, which serves on`);
  await sleep(silencedAt + RETURN_MS - Date.now());
  record.write('callers come back');
  const calls = sendAll(machines);
  await sleep(silencedAt + EXIT_MS - Date.now());
  leaving.stop();
  record.write(`${leaving.id} exits, ${Date.now() - leftAt} ms after its entry was removed`);
  const answers = await Promise.all(calls);

  answers.forEach(({ id, machine, status, answer, error, sentAt }) => {
    const run = runners.flatMap(({ runs }) => runs).find(({ attemptId }) => attemptId === id);
    const by = run === undefined ? 'not run' : `run by ${run.runner}`;
    record.write(
      `${machine.name} filing ${id}: ${by}; caller: ${status} ${answer} ${error}`,
      sentAt,
    );
  });
  const late = leaving.runs.filter(({ at }) => at > leftAt + DRAIN_MS);
  const lost = answers.filter(
    ({ id, status }) => status !== 200 && late.some(({ attemptId }) => attemptId === id),
  );
  record.write(`requests after the drain at ${leaving.id}: ${late.length}, lost: ${lost.length}`);
  return late.map(
    ({ attemptId, at }) =>
      `DRAIN: ${attemptId} reached ${leaving.id} ${at - leftAt} ms after its entry was removed`,
  );
}

await runCase(dirname(fileURLToPath(import.meta.url)), play);
