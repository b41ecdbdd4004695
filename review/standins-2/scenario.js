import { writeFile } from 'node:fs/promises';

import { Fleet } from '@filbertlatch/platform/soak/standins/gateways.js';
import { Store } from '@filbertlatch/platform/soak/standins/store.js';

/**
 * Exit codes of a play: the rule held, it was broken, or the case could not run. An error of the runtime
 * ends a process with 1, so `run.sh` translates them.
 */
export const EXIT = { held: 0, broken: 10, failed: 2 };

/** False when the case is played without its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

export const HOST = 'desk.example';
export const KEY = 'key-of-desk';

const LIMITS = {
  max_header_bytes: 16_384,
  max_body_bytes: 4_194_304,
  header_timeout_ms: 5000,
  idle_timeout_ms: 15_000,
};

/** Describes the service of the model runners, and its route of streams that cannot be resumed. */
export const DIGEST_ROUTE = {
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
};

const DRAFTING_MODEL = {
  name: 'drafting-model',
  health_path: '/health',
  max_conns: 620,
  engine: { slots: 128, kv_tokens: 631_559, stride: 5 },
};

/** Creates a config as the operator writes it. */
export function createConfiguration({
  version = 7,
  routes = [DIGEST_ROUTE],
  services = [DRAFTING_MODEL],
  keys = [KEY],
} = {}) {
  return { version, routes, services, limits: LIMITS, tenants: [{ name: 'desk', api_keys: keys }] };
}

/** Returns the headers of a request for a draft, with the parts of its prompt. */
export function digestHeaders(
  index,
  { key = KEY, tokens = '900,60', segments = `${(4096 + index).toString(16)}:900` } = {},
) {
  return {
    Key: key,
    Model: 'm',
    'Token-Usage': tokens,
    'Prompt-Prefix': segments,
    'Deadline-Remaining': '5000',
  };
}

/**
 * Plays a case and ends the process with its exit code. `prepare` gets the store and opens what the
 * machines need, `play` gets the fleet as well and returns the exit code; both may use `note`, whose
 * messages are written to the record, and `cleanUp`.
 */
export async function runScenario({ recordUrl, machines, prepare, play }) {
  const record = [];
  const cleanUps = [];
  const store = new Store();
  const fleet = new Fleet();
  const stage = {
    store,
    fleet,
    record,
    note: (message) => record.push(message),
    cleanUp: (callback) => cleanUps.push(callback),
  };
  const end = async (exitCode) => {
    await fleet.stop();
    cleanUps.forEach((callback) => callback());
    const lines = record.map((message) => JSON.stringify(message));
    await writeFile(recordUrl, `${lines.join('\n')}\n`);
    // eslint-disable-next-line n/no-process-exit -- idle connections would keep the process alive
    process.exit(exitCode);
  };
  // All processes that were started are ended in any case.
  process.on('uncaughtException', (error) => {
    process.stderr.write(`${error.stack}\n`);
    void end(EXIT.failed);
  });
  process.on('SIGTERM', () => {
    void end(EXIT.failed);
  });
  let exitCode = EXIT.failed;
  try {
    await store.start();
    await prepare(stage);
    await fleet.start(machines, store.address);
    exitCode = await play(stage);
  } catch (error) {
    process.stderr.write(`${error.stack}\n`);
  }
  await end(exitCode);
}
