import { once } from 'node:events';
import { access } from 'node:fs/promises';
import { createServer } from 'node:net';
import { totalmem } from 'node:os';
import { join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';

import meow from 'meow';

import { ROOT_URL } from '#standins';

import { hostOfVm } from './links/hosts.js';
import { harmWays, type HarmWay } from './links/harm.js';
import { signalKinds, troubleKinds, type TroubleKind } from './schedule.js';

/** What a run of the soak is given. */
export interface Options {
  readonly seeds: readonly number[];
  /** Whether the plays that have failed once come first. */
  readonly hasFailedFirst: boolean;
  /** Folder of the repository whose build is played. */
  readonly program: string;
  readonly vms: number;
  readonly endpoints: number;
  readonly callers: number;
  /** Requests that an endpoint runs at once; others wait, health checks too. */
  readonly slots: number;
  readonly seconds: number;
  readonly trouble: readonly TroubleKind[];
  /** Ways in which links are harmed, with the kind of trouble `links`. */
  readonly harms: readonly HarmWay[];
  /** Memory that a VM's process may hold. */
  readonly memoryBytes: number;
  /** Folder that logs are kept in; null to drop them. */
  readonly logDirectory: string | null;
  /** Folder of the reports; null for standard output only. */
  readonly reportDirectory: string | null;
}

/** An option that is not understood, or more than the machine bears. */
export class OptionError extends Error {}

const HELP = `
  Usage
    $ soak [options]

  Options
    --seed N|N..M       seed, or range of seeds; 1 unless given
    --failed            first the plays that have failed once; alone without --seed
    --program DIR       repository whose build is played; this one unless given
    --vms N             processes of the deploy file's program; 3
    --endpoints N       processes of endpoints; 6
    --callers N         callers, each with one request at a time; 60
    --slots N           requests that an endpoint runs at once; enough for 1.5 times
                        the callers unless given
    --seconds N         time in which requests are sent; 20
    --trouble LIST      of ${troubleKinds.join(', ')}, or signals for the last
                        ${signalKinds.length}; all unless given
    --harms LIST        of ${harmWays.join(', ')}: what is done to links;
                        all unless given
    --memory N          megabytes that a VM's process may hold; 200
    --keep-logs DIR     keep the logs of the VMs, one folder a seed
    --report DIR        write seed-N.json and seed-N.txt

  Exit codes: 0 all rules held, 1 findings, 2 could not run
`;

const MAX_PROCESSES = 200;
const VM_BYTES = 110e6;
const ENDPOINT_BYTES = 70e6;
const MIN_SECONDS = 8;

/** Places at all endpoints together: a quarter of them can be gone and all callers still have one. */
const PLACES_PER_CALLER = 1.5;

function parseSeeds(text: string): readonly number[] {
  const [, first, last = first] = /^(\d+)(?:\.\.(\d+))?$/.exec(text) ?? [];
  const count = Number(last) - Number(first) + 1;
  if (first === undefined || count < 1) {
    throw new OptionError(`--seed takes N or N..M, not ${JSON.stringify(text)}`);
  }
  return Array.from({ length: count }, (_, index) => Number(first) + index);
}

function parseTrouble(text: string): readonly TroubleKind[] {
  return text.split(',').flatMap((name) => {
    if (name === 'signals') return signalKinds;
    const kind = troubleKinds.find((known) => known === name);
    if (kind !== undefined) return [kind];
    const known = troubleKinds.join(', ');
    throw new OptionError(
      `unknown kind of trouble ${JSON.stringify(name)}; known are ${known}, signals`,
    );
  });
}

function parseHarms(text: string): readonly HarmWay[] {
  return text.split(',').map((name) => {
    const way = harmWays.find((known) => known === name);
    if (way !== undefined) return way;
    throw new OptionError(
      `unknown harm to links ${JSON.stringify(name)}; known are ${harmWays.join(', ')}`,
    );
  });
}

/** Returns how many places an endpoint has unless options say so: enough to lose some endpoints. */
export function defaultSlots(size: { callers: number; endpoints: number }): number {
  return Math.ceil((PLACES_PER_CALLER * size.callers) / size.endpoints);
}

function checkCount(name: string, value: number, min = 1): void {
  if (!Number.isInteger(value) || value < min) {
    throw new OptionError(`--${name} takes an integer of ${min} or more`);
  }
}

function checkSize({ vms, endpoints }: { vms: number; endpoints: number }): void {
  if (vms + endpoints > MAX_PROCESSES) {
    throw new OptionError(`${vms + endpoints} processes; at most ${MAX_PROCESSES} are started`);
  }
  const bytes = vms * VM_BYTES + endpoints * ENDPOINT_BYTES;
  if (bytes > totalmem() / 2) {
    throw new OptionError('the processes would need more than half of the memory');
  }
}

/** Parses the command line. Throws OptionError. */
export function parseOptions(importMeta: ImportMeta, argv: readonly string[]): Options {
  const { input, flags, unnormalizedFlags } = meow(HELP, {
    importMeta,
    argv: [...argv],
    flags: {
      seed: { type: 'string' },
      failed: { type: 'boolean', default: false },
      program: { type: 'string', default: fileURLToPath(ROOT_URL) },
      vms: { type: 'number', default: 3 },
      endpoints: { type: 'number', default: 6 },
      callers: { type: 'number', default: 60 },
      slots: { type: 'number' },
      seconds: { type: 'number', default: 20 },
      trouble: { type: 'string', default: troubleKinds.join(',') },
      harms: { type: 'string' },
      memory: { type: 'number', default: 200 },
      keepLogs: { type: 'string' },
      report: { type: 'string' },
    },
  });
  const known =
    'seed failed program vms endpoints callers slots seconds trouble harms memory report keepLogs'.split(
      ' ',
    );
  const unknown = Object.keys(unnormalizedFlags).find(
    (name) => !known.includes(name) && name !== 'keep-logs',
  );
  if (unknown !== undefined) throw new OptionError(`unknown option --${unknown}`);
  if (input.length > 0) throw new OptionError(`unknown operand ${JSON.stringify(input[0])}`);
  const { vms, endpoints, callers, seconds } = flags;
  const slots = flags.slots ?? defaultSlots({ callers, endpoints });
  checkCount('vms', vms);
  checkCount('endpoints', endpoints);
  checkCount('callers', callers);
  checkCount('slots', slots);
  checkCount('seconds', seconds, MIN_SECONDS);
  checkCount('memory', flags.memory);
  checkSize({ vms, endpoints });
  const trouble = parseTrouble(flags.trouble);
  if (flags.harms !== undefined && !trouble.includes('links')) {
    throw new OptionError('--harms needs the kind of trouble links');
  }
  return {
    seeds: flags.seed === undefined && flags.failed ? [] : parseSeeds(flags.seed ?? '1'),
    hasFailedFirst: flags.failed,
    program: resolve(flags.program),
    vms,
    endpoints,
    callers,
    slots,
    seconds,
    trouble,
    harms: flags.harms === undefined ? harmWays : parseHarms(flags.harms),
    memoryBytes: flags.memory * 1e6,
    logDirectory: flags.keepLogs ?? null,
    reportDirectory: flags.report ?? null,
  };
}

/** Checks that connections can have sources of their own. */
async function checkHosts(): Promise<void> {
  const host = hostOfVm(0);
  const server = createServer().listen(0, host);
  try {
    await once(server, 'listening');
  } catch {
    throw new OptionError(`the kind of trouble links needs the loopback host ${host}`);
  } finally {
    server.close();
  }
}

/** Checks that the deploy file's program has been built, and runs here. Throws OptionError. */
export async function checkBuild({ program, trouble }: Options): Promise<void> {
  if (trouble.includes('links')) await checkHosts();
  try {
    await access(join(program, 'target', 'start.cjs'));
  } catch {
    throw new OptionError(
      "the deploy file's program is not built: npx tsc -b platform && node deploy/bundle.js",
    );
  }
}
