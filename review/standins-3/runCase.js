import { createWriteStream } from 'node:fs';
import { join } from 'node:path';

import { Deployment } from './deployment.js';

const HELD = 0;
const BROKEN = 1;
const NOT_RUN = 2;

/** Longest time of a case. */
const MAX_CASE_MS = 110_000;

/** Writes the record of a case: what was sent, answered and run. */
class Record {
  #stream;

  #startedAt = Date.now();

  constructor(path) {
    this.#stream = createWriteStream(path);
  }

  /** Writes a line with the time since the start in milliseconds, and at `at` if that is another. */
  write(text, at = Date.now()) {
    this.#stream.write(`${String(at - this.#startedAt).padStart(6)} ${text}\n`);
  }

  /** Resolves when all is written. */
  close() {
    return new Promise((resolve) => {
      this.#stream.end(resolve);
    });
  }
}

/**
 * Runs a case and ends the process: with 1 if `play` finds breaches of its rule, 0 if the rule held, and 2
 * if the case could not run. `play` gets a deployment that is not started, the record, and whether the
 * disruption takes place; it returns the breaches as texts.
 */
export async function runCase(folder, play) {
  const record = new Record(join(folder, 'record.txt'));
  const deployment = new Deployment();
  const isTroubled = process.env.TROUBLE !== '0';
  const timer = setTimeout(() => {
    record.write('the case takes too long');
    // eslint-disable-next-line n/no-process-exit -- `play` hangs
    void deployment.stop().finally(() => process.exit(NOT_RUN));
  }, MAX_CASE_MS);
  process.on('uncaughtException', (error) => {
    record.write(`the case could not run: ${error.stack}`);
    // eslint-disable-next-line n/no-process-exit -- its state is unknown
    void deployment.stop().finally(() => process.exit(NOT_RUN));
  });
  let exitCode = NOT_RUN;
  try {
    record.write(`disruption: ${isTroubled ? 'yes' : 'no'}`);
    const breaches = await play(deployment, record, isTroubled);
    breaches.forEach((breach) => record.write(`BROKEN ${breach}`));
    record.write(breaches.length === 0 ? 'the rule held' : `breaches: ${breaches.length}`);
    exitCode = breaches.length === 0 ? HELD : BROKEN;
  } catch (error) {
    record.write(`the case could not run: ${error.stack}`);
  }
  clearTimeout(timer);
  await deployment.stop();
  await record.close();
  // eslint-disable-next-line n/no-process-exit -- requests of stand-ins may still be open
  process.exit(exitCode);
}
