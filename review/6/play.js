// A runner is cut off from all machines, crashes behind the cut, starts again under its id, and the cut
// ends. Clients read streams meanwhile that have neither a length nor chunks.
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
const STREAMS = 12;

const RUNNER = {
  service: 'drafting-model',
  healthPath: '/health',
  events: 12,
  gapMs: 200,
  slots: 128,
  isUnframed: true,
};

/** The cut begins in the middle of the streams; the crash and the start are behind it. */
const CUT_AFTER_MS = 700;
const CRASH_AFTER_CUT_MS = 100;
const START_AFTER_CRASH_MS = 1000;
/** Longest pause that a client sees: less than the 3.2 s after which it abandons such a stream. */
const CUT_MS = 2300;

function readEvents(text) {
  return [...text.matchAll(/^id: (\d+)\ndata: (\S+) /gm)].map(([, event, id]) => ({
    event: Number(event),
    id,
  }));
}

/** Returns what is wrong with a stream that the client takes for complete; null without a fault. */
function findFault({ id, status, answer, text }) {
  if (status !== 200 || answer !== 'whole') return null;
  const events = readEvents(text);
  const isInOrder = events.every(({ event, id: of }, index) => event === index + 1 && of === id);
  if (!isInOrder) return 'events are missing, come twice or are of another request';
  const isComplete = events.length === RUNNER.events;
  return isComplete ? null : `ends as complete after event ${events.length} of ${RUNNER.events}`;
}

async function sendStream({ fleet, note }, index) {
  const seen = await send(fleet.gateways[index % MACHINES].listen.front, {
    host: HOST,
    path: `/digest/${index}`,
    headers: digestHeaders(index),
    body: `digest ${index}`,
  });
  note({ kind: 'answered', ...seen, fault: findFault(seen) });
  return seen;
}

const runners = [];

async function prepare({ store, note, cleanUp }) {
  store.put('op/config', createConfiguration());
  for (const id of ['i-7f3a91c2', 'i-20c4e6b8', 'i-b51d0e97']) {
    const runner = new Runner({ ...RUNNER, id }, store, note);
    runners.push(runner);
    cleanUp(() => runner.stop());
    await runner.open();
    await runner.start();
  }
}

/** Cuts off the runner with most of the streams, and restarts it behind the cut. */
async function disturb({ record, note }) {
  const countRuns = ({ id }) =>
    record.filter(({ kind, runner }) => kind === 'run' && runner === id).length;
  const [cut] = [...runners].sort((a, b) => countRuns(b) - countRuns(a));
  const heal = sleep(CUT_MS).then(() => {
    note({ kind: 'heal', at: Date.now(), runner: cut.id });
    cut.link.heal();
  });
  note({ kind: 'cut', at: Date.now(), runner: cut.id, runs: countRuns(cut) });
  cut.link.cut();
  await sleep(CRASH_AFTER_CUT_MS);
  note({ kind: 'crash', at: Date.now(), runner: cut.id });
  await cut.crash();
  await sleep(START_AFTER_CRASH_MS);
  note({ kind: 'start', at: Date.now(), runner: cut.id });
  await cut.start();
  await heal;
}

async function play(stage) {
  await sleep(1500);
  const streams = Array.from({ length: STREAMS }, (_, index) => sendStream(stage, index));
  await sleep(CUT_AFTER_MS);
  if (HAS_TROUBLE) await disturb(stage);
  const seen = await Promise.all(streams);
  await sleep(300);
  const whole = seen.filter(({ status, answer }) => status === 200 && answer === 'whole');
  const faults = seen.filter((answer) => findFault(answer) !== null);
  stage.note({ kind: 'verdict', streams: seen.length, whole: whole.length, faults: faults.length });
  if (!HAS_TROUBLE && whole.length < STREAMS) return EXIT.failed;
  return faults.length > 0 ? EXIT.broken : EXIT.held;
}

await runScenario({
  recordUrl: new URL('record.txt', import.meta.url),
  machines: MACHINES,
  prepare,
  play,
});
