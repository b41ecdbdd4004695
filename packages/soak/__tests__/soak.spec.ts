// Real processes lose no answer and end only as asked while VMs are stopped and started, and endpoints
// fall silent or are killed.
import { execFile } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';

import test, { type ExecutionContext } from 'ava';

import { describe, it, itKnownRed, itSerial } from '@filbertlatch/core/testing';
import { ROOT_URL } from '#standins';

import { harmWays } from '../src/links/harm.js';
import { runSeed } from '../src/main.js';
import type { Options } from '../src/options.js';
import { formatReport } from '../src/report.js';

const OPTIONS = { vms: 3, endpoints: 6, callers: 60, slots: 15, seconds: 12 };

async function checkSeed(
  t: ExecutionContext,
  seed: number,
  fields: Partial<Options> & Pick<Options, 'trouble'>,
): Promise<void> {
  const directories = { logDirectory: null, reportDirectory: null };
  const program = fileURLToPath(ROOT_URL);
  const options = {
    ...OPTIONS,
    ...directories,
    program,
    hasFailedFirst: false,
    harms: harmWays,
    memoryBytes: 200e6,
    seeds: [seed],
    ...fields,
  };
  const report = await runSeed(options, seed, new AbortController().signal);
  t.is(report.findings.length, 0, formatReport(report));
  t.true((report.outcomes['stream 200'] ?? 0) > options.callers);
}

test.before('builds the program of the deploy file', async () => {
  const cwd = fileURLToPath(ROOT_URL);
  await promisify(execFile)(process.execPath, ['deploy/bundle.js'], { cwd });
});

describe('the soak finds nothing', () => {
  // These two run at the same time, to save some.
  it('when versions change, the store fails and VMs stand still (seed 1)', async (t) => {
    await checkSeed(t, 1, { seconds: 16, trouble: ['release', 'store', 'freeze', 'callers'] });
  });

  it('when VMs are stopped, with and without a SIGHUP (seed 1)', async (t) => {
    await checkSeed(t, 1, { seconds: 25, trouble: ['stop', 'hangup'] });
  });

  itSerial('when a VM that drains gets a second SIGTERM (seed 1)', async (t) => {
    await checkSeed(t, 1, { trouble: ['twice'] });
  });

  itSerial('when VMs stop beside short, long and large requests (seed 1)', async (t) => {
    await checkSeed(t, 1, { trouble: ['mixed', 'stop', 'hangups'] });
  });

  itKnownRed('when a VM gets a signal while it starts (seed 1)', async (t) => {
    await checkSeed(t, 1, { trouble: ['start'] });
  });

  itSerial('when links are harmed (seed 2)', async (t) => {
    await checkSeed(t, 2, { trouble: ['links', 'unframed'] });
  });

  itSerial(
    'when endpoints that are full fall silent beside a configuration (seed 3)',
    async (t) => {
      await checkSeed(t, 3, { slots: 10, trouble: ['silence'] });
    },
  );

  itSerial(
    'when an endpoint is killed under answers without a length while the others are silent (seed 1)',
    async (t) => {
      await checkSeed(t, 1, { trouble: ['kill', 'unframed'] });
    },
  );

  itSerial('when ports are in use, logs unread and descriptors few (seed 6)', async (t) => {
    await checkSeed(t, 6, { seconds: 14, trouble: ['held', 'reader', 'descriptors'] });
  });

  itSerial(
    'when bodies are many, halved or unread, and answers have no end (seed 2)',
    async (t) => {
      await checkSeed(t, 2, { seconds: 16, trouble: ['halves', 'endless', 'floods', 'readers'] });
    },
  );

  itSerial('when callers send requests without waiting for answers (seed 3)', async (t) => {
    await checkSeed(t, 3, { trouble: ['pipeline'] });
  });
});
