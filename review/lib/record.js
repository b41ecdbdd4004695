import { writeFile } from 'node:fs/promises';

const EXIT_HELD = 0;
const EXIT_BROKEN = 1;
const EXIT_NOT_RUN = 2;

/** A case that takes longer is given up. */
const MAX_CASE_MS = 110_000;

/** True unless the environment asks for a run without the disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** The record of one run of a case: lines with the time since its start. */
export class Record {
  #lines = [];

  #startedAt = Date.now();

  /** Adds a line, about an instant if it is given. */
  add(text, at = Date.now()) {
    this.#lines.push({ at, text: `${((at - this.#startedAt) / 1000).toFixed(3)} s  ${text}` });
  }

  /** Writes all lines in the order of their instants. */
  async write(path) {
    const lines = this.#lines.sort((a, b) => a.at - b.at).map(({ text }) => text);
    await writeFile(path, `${lines.join('\n')}\n`);
  }
}

/** Rejects when the case takes too long, or its process is asked to end. */
function watchEnd() {
  return new Promise((_, reject) => {
    setTimeout(() => reject(new Error('takes too long')), MAX_CASE_MS).unref();
    ['SIGINT', 'SIGTERM', 'SIGHUP'].forEach((signal) => {
      process.once(signal, () => reject(new Error(`got ${signal}`)));
    });
  });
}

/**
 * Plays a case: `play` returns the ways in which the rule was broken. Writes record.txt to the folder
 * and ends the process with the exit code that issue 39 names.
 */
export async function runCase(folder, play, stop) {
  const record = new Record();
  record.add(hasTrouble ? 'with the disruption' : 'without the disruption');
  let exitCode = EXIT_NOT_RUN;
  try {
    const breaks = await Promise.race([play(record), watchEnd()]);
    breaks.forEach((text) => record.add(`BROKEN: ${text}`));
    record.add(breaks.length === 0 ? 'the rule held' : 'the rule was broken');
    exitCode = breaks.length === 0 ? EXIT_HELD : EXIT_BROKEN;
  } catch (error) {
    record.add(`could not run: ${error.stack}`);
  } finally {
    await stop();
  }
  await record.write(`${folder}/record.txt`);
  // Clients may still read.
  // eslint-disable-next-line n/no-process-exit -- all processes have been ended
  process.exit(exitCode);
}
