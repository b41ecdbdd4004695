// A runner is cut off from all machines, crashes behind the cut, starts again under its id, and the cut
// ends. Clients read streams meanwhile that have neither a length nor chunks.
import { writeFile } from 'node:fs/promises';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

import { sendAttempt } from '@filbertlatch/platform/soak/standins/client.js';
import { Fleet } from '@filbertlatch/platform/soak/standins/gateways.js';
import { Store } from '@filbertlatch/platform/soak/standins/store.js';
import { Runner } from '../standins-2/runners.js';

const EXIT = { held: 0, broken: 1, failed: 2 };
const HAS_TROUBLE = process.env.TROUBLE !== '0';

const HOST = 'desk.example';
const KEY = 'key-of-desk';
const EVENTS = 12;
const GAP_MS = 200;
const STREAMS = 12;

/** The cut begins in the middle of the streams; the crash and the start are behind it. */
const CUT_AFTER_MS = 700;
const CRASH_AFTER_CUT_MS = 100;
const START_AFTER_CRASH_MS = 1000;
/** Longest pause that a client sees: less than the 3.2 s after which it abandons such a stream. */
const CUT_MS = 2300;

const record = [];
const note = (message) => record.push(message);

const CONFIGURATION = {
  version: 7,
  routes: [
    {
      name: 'wire-digest',
      host: HOST,
      prefix: '/digest/',
      kind: 'streaming',
      service: 'drafting-model',
      timeout_ms: 5000,
      target_latency_ms: 500,
      gap_target_ms: 400,
      attempts: 1,
      priority: 1,
      sticky: true,
    },
  ],
  services: [
    {
      name: 'drafting-model',
      health_path: '/health',
      max_conns: 620,
      engine: { slots: 128, kv_tokens: 631_559, stride: 5 },
    },
  ],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 5000,
    idle_timeout_ms: 15_000,
  },
  tenants: [{ name: 'desk', api_keys: [KEY] }],
};

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
  return events.length < EVENTS
    ? `ends as complete after event ${events.length} of ${EVENTS}`
    : null;
}

async function sendStream(front, index) {
  const seen = await sendAttempt(front, {
    method: 'POST',
    host: HOST,
    path: `/digest/${index}`,
    headers: {
      Key: KEY,
      Model: 'm',
      'Token-Usage': '900,60',
      'Prompt-Prefix': `${(4096 + index).toString(16)}:900`,
      'Deadline-Remaining': '5000',
    },
    body: `digest ${index}`,
  });
  note({ kind: 'answered', front, ...seen, fault: findFault(seen) });
  return seen;
}

async function play(fleet, runners) {
  const fronts = fleet.gateways.map(({ listen }) => listen.front);
  const streams = Array.from({ length: STREAMS }, (_, index) =>
    sendStream(fronts[index % fronts.length], index),
  );
  await sleep(CUT_AFTER_MS);
  if (HAS_TROUBLE) {
    const runs = record.filter(({ kind }) => kind === 'run');
    const countRuns = ({ id }) => runs.filter(({ runner }) => runner === id).length;
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
  return Promise.all(streams);
}

async function main() {
  const store = new Store();
  await store.start();
  store.put('op/config', CONFIGURATION);
  const runners = ['i-7f3a91c2', 'i-20c4e6b8', 'i-b51d0e97'].map(
    (id) =>
      new Runner(
        {
          id,
          service: 'drafting-model',
          healthPath: '/health',
          events: EVENTS,
          gapMs: GAP_MS,
          slots: 128,
          isUnframed: true,
        },
        store,
        note,
      ),
  );
  const fleet = new Fleet();
  try {
    for (const runner of runners) {
      await runner.open();
      await runner.start();
    }
    await fleet.start(3, store.address);
    await sleep(1500);
    const seen = await play(fleet, runners);
    await sleep(300);
    const whole = seen.filter(({ status, answer }) => status === 200 && answer === 'whole');
    const faults = seen.filter((answer) => findFault(answer) !== null);
    note({ kind: 'verdict', streams: seen.length, whole: whole.length, faults: faults.length });
    if (!HAS_TROUBLE && whole.length < STREAMS) return EXIT.failed;
    return faults.length > 0 ? EXIT.broken : EXIT.held;
  } finally {
    await fleet.stop();
    runners.forEach((runner) => runner.stop());
    store.stop();
    const lines = record.map((message) => JSON.stringify(message));
    await writeFile(fileURLToPath(new URL('record.txt', import.meta.url)), `${lines.join('\n')}\n`);
  }
}

let exitCode = EXIT.failed;
try {
  exitCode = await main();
} catch (error) {
  process.stderr.write(`${error.stack}\n`);
}
// eslint-disable-next-line n/no-process-exit -- idle connections would keep the process alive
process.exit(exitCode);
