// A runner leaves without a report that it drains: its entry is removed, and it serves on for some
// seconds. Meanwhile the store goes away for a moment and comes back from a copy that is some seconds
// old and still has the entry.
import { setTimeout as sleep } from 'node:timers/promises';

import { send } from '../standins-2/caller.js';
import { Runner } from '../standins-2/runners.js';
import {
  createConfiguration,
  digestHeaders,
  EXIT,
  HAS_TROUBLE,
  HOST,
  runScenario,
} from '../standins-2/scenario.js';

const MACHINES = 3;
const CALLERS = 112;

/** Time from one request of a caller to its next one: 75 requests a second in all, as on the sheet. */
const INTERVAL_MS = 1500;

/** As the sheets have it: no request that a client sends later may reach a runner that leaves. */
const DRAIN_MS = 2000;

/** The copy is as old as this when the runner leaves. */
const COPY_AGE_MS = 500;
const STORE_LEAVES_AFTER_MS = 2200;
const STORE_AWAY_MS = 1000;

/** Time for which the runner serves after its entry is removed. */
const SERVES_ON_MS = 4100;

/** The entry of a runner that says nothing more is removed after three heartbeats. */
const EXPIRY_MS = 3600;

const RUNNER = {
  service: 'drafting-model',
  healthPath: '/health',
  events: 10,
  gapMs: 100,
  firstMs: 150,
  slots: 128,
};

async function call({ fleet, note }, index, isOver) {
  const { front } = fleet.gateways[index % MACHINES].listen;
  await sleep((INTERVAL_MS / CALLERS) * index);
  while (!isOver()) {
    const startedAt = Date.now();
    const seen = await send(front, {
      host: HOST,
      path: `/digest/${index}`,
      headers: digestHeaders(index),
      body: `digest ${index}`,
    });
    note({ kind: 'answered', ...seen });
    await sleep(Math.max(0, startedAt + INTERVAL_MS - Date.now()));
  }
}

/** Returns the runner that has got the most requests in the last second. */
function findBusiest(record, runners) {
  const since = Date.now() - 1000;
  const runs = record.filter(({ kind, at }) => kind === 'run' && at > since);
  const countRuns = ({ id }) => runs.filter(({ runner }) => runner === id).length;
  return [...runners].sort((a, b) => countRuns(b) - countRuns(a))[0];
}

/** Lists what reached the runner though its client sent it too late after that machine knew. */
function listLateRuns(record, runnerId) {
  const answered = record.filter(({ kind }) => kind === 'answered');
  const toldAt = new Map();
  answered.forEach(({ front, headers, headAt }) => {
    const isTold =
      headers['server-leaving'] === '1' && headers['response-signature'].startsWith(runnerId);
    if (isTold) toldAt.set(front, Math.min(headAt, toldAt.get(front) ?? Infinity));
  });
  const byId = new Map(answered.map((seen) => [seen.id, seen]));
  return record
    .filter(({ kind, runner }) => kind === 'run' && runner === runnerId)
    .map((run) => ({ ...run, request: byId.get(run.attemptId) }))
    .filter(({ request }) => request?.sentAt > (toldAt.get(request?.front) ?? Infinity) + DRAIN_MS)
    .map(({ request, at }) => ({
      kind: 'late',
      id: request.id,
      front: request.front,
      ranAt: at,
      sentAfterMs: request.sentAt - toldAt.get(request.front),
      status: request.status,
      answer: request.answer,
    }));
}

async function prepare({ store, note, cleanUp }) {
  store.put('op/config', createConfiguration());
  const ids = ['i-7f3a91c2', 'i-20c4e6b8', 'i-b51d0e97'];
  const runners = ids.map((id) => new Runner({ ...RUNNER, id }, store, note));
  for (const runner of runners) {
    cleanUp(() => runner.stop());
    await runner.open();
    await runner.start();
  }
  return runners;
}

async function comeBack(store, copy, note, leaving) {
  await sleep(STORE_LEAVES_AFTER_MS);
  note({ kind: 'store away', at: Date.now() });
  store.leave();
  await sleep(STORE_AWAY_MS);
  await store.comeBack(copy);
  note({ kind: 'store back from a copy', at: Date.now() });
  setTimeout(() => store.remove(`servers/${leaving.id}`), EXPIRY_MS);
}

async function play(stage, runners) {
  const { store, note, record } = stage;
  let isOver = false;
  await sleep(1000);
  const calls = Array.from({ length: CALLERS }, (_, index) => call(stage, index, () => isOver));
  await sleep(3000);
  const copy = store.copy();
  await sleep(COPY_AGE_MS);
  const leaving = findBusiest(record, runners);
  note({ kind: 'leaves', at: Date.now(), runner: leaving.id });
  await leaving.leave();
  const returned = HAS_TROUBLE ? comeBack(store, copy, note, leaving) : null;
  await sleep(SERVES_ON_MS);
  note({ kind: 'ends', at: Date.now(), runner: leaving.id });
  await leaving.crash();
  await returned;
  await sleep(1000);
  isOver = true;
  await Promise.all(calls);
  const late = listLateRuns(record, leaving.id);
  late.forEach(note);
  const told = record.filter(({ headers }) => headers?.['server-leaving'] === '1');
  const machines = new Set(told.map(({ front }) => front)).size;
  const whole = record.filter(({ answer }) => answer === 'whole').length;
  const lost = late.filter(({ answer }) => answer !== 'whole').length;
  note({ kind: 'verdict', answers: whole, toldMachines: machines, late: late.length, lost });
  if (machines === 0) return EXIT.failed;
  return late.length > 0 ? EXIT.broken : EXIT.held;
}

let runners = [];
await runScenario({
  recordUrl: new URL('record.txt', import.meta.url),
  machines: MACHINES,
  prepare: async (stage) => {
    runners = await prepare(stage);
  },
  play: (stage) => play(stage, runners),
});
