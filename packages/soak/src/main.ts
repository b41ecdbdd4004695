import { mkdir, mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';

import { failedSeeds, SIZE_OF_FAILED } from './failedSeeds.js';
import { checkBuild, OptionError, parseOptions, type Options } from './options.js';
import { playSeed } from './play.js';
import { createReport, formatReport, type SeedReport } from './report.js';

/** Exit codes: all rules held, findings, could not run. */
export const EXIT_HELD = 0;
export const EXIT_FINDINGS = 1;
export const EXIT_NOT_RUN = 2;

async function withLogDirectory<T>(
  { logDirectory }: Options,
  seed: number,
  use: (directory: string) => Promise<T>,
): Promise<T> {
  if (logDirectory !== null) {
    // Logs of an earlier run of the seed stay.
    const time = new Date().toISOString().replace(/[-:]|\.\d+/g, '');
    const directory = resolve(logDirectory, `seed-${seed}-${time}`);
    await mkdir(directory, { recursive: true });
    return use(directory);
  }
  const directory = await mkdtemp(join(tmpdir(), 'filbertlatch-soak-'));
  try {
    return await use(directory);
  } finally {
    await rm(directory, { recursive: true, force: true });
  }
}

/** Plays one seed and checks it. Rejects when it could not run. */
export function runSeed(options: Options, seed: number, signal: AbortSignal): Promise<SeedReport> {
  return withLogDirectory(options, seed, async (directory) => {
    const evidence = await playSeed(options, seed, directory, signal);
    return createReport(options, seed, evidence, directory);
  });
}

interface ListedPlay {
  readonly name: string;
  readonly seed: number;
  readonly options: Options;
}

function listPlays(options: Options): readonly ListedPlay[] {
  const failed = failedSeeds.map(({ seed, cause, ...fields }, index) => ({
    name: `failed-${index + 1}-seed-${seed}`,
    seed,
    options: { ...options, ...SIZE_OF_FAILED, ...fields },
  }));
  const drawn = options.seeds.map((seed) => ({ name: `seed-${seed}`, seed, options }));
  return options.hasFailedFirst ? [...failed, ...drawn] : drawn;
}

async function writeReport({ name, options }: ListedPlay, report: SeedReport): Promise<void> {
  const { reportDirectory } = options;
  const page = formatReport(report);
  process.stdout.write(page);
  if (reportDirectory === null) return;
  await mkdir(reportDirectory, { recursive: true });
  const path = join(reportDirectory, name);
  await writeFile(`${path}.json`, `${JSON.stringify(report, null, 2)}\n`);
  await writeFile(`${path}.txt`, page);
}

/** Runs the `soak` command line; resolves with the exit code. */
export async function main(
  importMeta: ImportMeta,
  argv: readonly string[] = process.argv.slice(2),
): Promise<number> {
  const interruption = new AbortController();
  ['SIGINT', 'SIGTERM', 'SIGHUP'].forEach((name) => {
    process.on(name, () => interruption.abort());
  });
  try {
    const options = parseOptions(importMeta, argv);
    await checkBuild(options);
    const plays = listPlays(options);
    let findings = 0;
    for (const [index, play] of plays.entries()) {
      process.stderr.write(`soak: ${play.name} (${index + 1} of ${plays.length})\n`);
      const report = await runSeed(play.options, play.seed, interruption.signal);
      await writeReport(play, report);
      findings += report.findings.length;
    }
    return findings === 0 ? EXIT_HELD : EXIT_FINDINGS;
  } catch (error) {
    const { message, stack } = error as Error;
    process.stderr.write(`soak: ${error instanceof OptionError ? message : stack}\n`);
    return EXIT_NOT_RUN;
  }
}
