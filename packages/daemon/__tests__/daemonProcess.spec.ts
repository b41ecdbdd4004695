import { execFile, spawn, type ChildProcessByStdio } from 'node:child_process';
import { createHash } from 'node:crypto';
import { once } from 'node:events';
import { mkdtemp, open, rm, writeFile } from 'node:fs/promises';
import { createServer, type AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { Readable } from 'node:stream';
import { text } from 'node:stream/consumers';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';

import { checkTable } from '@filbertlatch/core';
import { describe, it } from '@filbertlatch/core/testing';
import { createEngine, createPlatform } from '@filbertlatch/standins';
import type { ExecutionContext } from 'ava';
import { request } from 'undici';

const API_KEY = 'key-of-the-test';
const ANSWER_TOKENS = 30;
const DAEMON_PATH = fileURLToPath(new URL('../../bin/filbertlatchd.js', import.meta.url));

type Daemon = ChildProcessByStdio<null, Readable, Readable>;

interface Addresses {
  readonly callerUrl: string;
  readonly adminUrl: string;
}

function createSettings(platformUrl: string): Record<string, unknown> {
  return {
    vm: { id: 'vm-1', zone: 'zone-a', region: 'region-1' },
    callers: { port: 0 },
    admin: { port: 0, operatorToken: 'operator-token-of-the-test' },
    peers: { port: 0, sharedKey: 'shared-key-of-the-test' },
    platform: { configurationUrl: platformUrl, listUrl: platformUrl },
  };
}

/** Starts a daemon with settings; with null it waits for them to be written to the path of `spawnargs`. */
async function startDaemon(t: ExecutionContext, content: string | null): Promise<Daemon> {
  const folder = await mkdtemp(join(tmpdir(), 'filbertlatch-'));
  const path = join(folder, 'settings.json');
  if (content === null) await promisify(execFile)('mkfifo', [path]);
  else await writeFile(path, content);
  const daemon = spawn(process.execPath, [DAEMON_PATH, path], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  t.teardown(async () => {
    daemon.kill('SIGKILL');
    await rm(folder, { recursive: true });
  });
  return daemon;
}

async function readAddresses(daemon: Daemon): Promise<Addresses> {
  const [line] = (await once(daemon.stdout, 'data')) as [Buffer];
  return JSON.parse(line.toString()) as Addresses;
}

async function waitForExit(daemon: Daemon): Promise<{ code: number | null; errors: string }> {
  const errors = text(daemon.stderr);
  const [code] = (await once(daemon, 'exit')) as [number | null];
  return { code, errors: await errors };
}

async function publishFleet(t: ExecutionContext) {
  const platform = await createPlatform();
  const engine = await createEngine({
    id: 'engine-1',
    models: ['desk'],
    slots: 4,
    stepMs: 20,
    prefillTokensPerSecond: 10_000,
    seed: 1,
  });
  t.teardown(() => Promise.all([platform.stop(), engine.stop()]));
  const place = { zone: 'zone-a', region: 'region-1' };
  const target = { firstTokenMs: 5000, betweenTokensMs: 500, wholeMs: 60_000 };
  const keyDigest = createHash('sha256').update(API_KEY).digest('hex');
  const checked = checkTable({
    revision: 1,
    classes: [{ id: 'headline', tier: 'critical', share: 0.5, target }],
    accounts: [{ id: 'station', keyDigest, homeRegion: 'region-1', defaultClass: 'headline' }],
    models: [{ id: 'desk' }],
    endpoints: [
      {
        ...place,
        id: engine.id,
        kind: 'engine',
        url: engine.url,
        slots: 4,
        models: ['desk'],
        fencing: 'checked',
      },
    ],
    limits: [],
  });
  if (!checked.ok) throw new Error(checked.faults.map((fault) => fault.path).join());
  platform.publishTable(checked.value);
  const vm = { ...place, id: 'vm-1', peerUrl: 'http://127.0.0.1:1', state: 'live' as const };
  platform.publishList({ revision: 1, vms: [vm], leavingEndpoints: [] });
  return platform;
}

async function waitUntilReady(callerUrl: string): Promise<void> {
  for (;;) {
    const { statusCode, body } = await request(`${callerUrl}/ready`);
    await body.dump();
    if (statusCode === 200) return;
    await sleep(20);
  }
}

/** Signals that come one after the other, 50 ms apart. */
const SIGNAL_SERIES: Readonly<Record<string, readonly NodeJS.Signals[]>> = {
  SIGTERM: ['SIGTERM'],
  'two SIGTERMs': ['SIGTERM', 'SIGTERM'],
  'a SIGINT after SIGTERM': ['SIGTERM', 'SIGINT'],
  'SIGHUPs and SIGTERMs in turn': ['SIGHUP', 'SIGTERM', 'SIGHUP', 'SIGTERM', 'SIGUSR2'],
};

const SIGNAL_INTERVAL_MS = 50;

/** Time in which a process that waits for its settings has handled a signal. */
const HANDLING_MS = 200;

describe('the daemon as a process', () => {
  const finishStream = async (t: ExecutionContext, signals: readonly NodeJS.Signals[]) => {
    const platform = await publishFleet(t);
    const daemon = await startDaemon(t, JSON.stringify(createSettings(platform.url)));
    const { callerUrl } = await readAddresses(daemon);
    await waitUntilReady(callerUrl);
    const { body } = await request(`${callerUrl}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${API_KEY}` },
      body: JSON.stringify({
        model: 'desk',
        stream: true,
        messages: [{ role: 'user', content: 'A headline, please.' }],
        standin: { tokens: ANSWER_TOKENS },
      }),
    });
    const ended = waitForExit(daemon);
    const received = body.text();
    for (const signal of signals) {
      daemon.kill(signal);
      await sleep(SIGNAL_INTERVAL_MS);
    }
    const answer = await received;
    t.is(answer.split('"content":" w').length - 1, ANSWER_TOKENS);
    t.true(answer.endsWith('data: [DONE]\n\n'));
    t.is((await ended).code, 0);
  };

  Object.entries(SIGNAL_SERIES).forEach(([title, signals]) => {
    it(`finishes an open stream before it exits on ${title}`, (t) => finishStream(t, signals));
  });

  it('exits with 0 whatever signals come until it has ended', async (t) => {
    const daemon = await startDaemon(t, JSON.stringify(createSettings('http://127.0.0.1:9')));
    await readAddresses(daemon);
    const ended = waitForExit(daemon);
    while (daemon.exitCode === null && daemon.signalCode === null) {
      (['SIGTERM', 'SIGINT', 'SIGHUP', 'SIGUSR2'] as const).forEach((signal) =>
        daemon.kill(signal),
      );
      await sleep(1);
    }
    t.is((await ended).code, 0);
  });

  it('is stopped by a SIGTERM that comes before its settings are read', async (t) => {
    const daemon = await startDaemon(t, null);
    const pipe = await open(daemon.spawnargs.at(-1)!, 'w');
    daemon.kill('SIGTERM');
    await sleep(HANDLING_MS);
    const ended = waitForExit(daemon);
    await pipe.write(JSON.stringify(createSettings('http://127.0.0.1:9'))).catch(() => undefined);
    await pipe.close();
    t.is((await ended).code, 0);
  });

  it('is not ended by a SIGHUP that comes before its settings are read', async (t) => {
    const daemon = await startDaemon(t, null);
    const pipe = await open(daemon.spawnargs.at(-1)!, 'w');
    daemon.kill('SIGHUP');
    await sleep(HANDLING_MS);
    await pipe.write(JSON.stringify(createSettings('http://127.0.0.1:9'))).catch(() => undefined);
    await pipe.close();
    const { callerUrl } = await readAddresses(daemon);
    t.regex(callerUrl, /^http/);
  });

  it('listens, answers callers, asks admin callers for a token and exits with 0 on SIGTERM', async (t) => {
    const platform = await createPlatform();
    t.teardown(() => platform.stop());
    const daemon = await startDaemon(t, JSON.stringify(createSettings(platform.url)));
    const { callerUrl, adminUrl } = await readAddresses(daemon);
    const health = await request(`${callerUrl}/health`);
    t.is(health.statusCode, 200);
    await health.body.dump();
    const state = await request(`${adminUrl}/admin/state`);
    t.is(state.statusCode, 401);
    await state.body.dump();
    const ended = waitForExit(daemon);
    daemon.kill('SIGTERM');
    t.is((await ended).code, 0);
  });

  it('serves on when the readers of its log have gone', async (t) => {
    const daemon = await startDaemon(t, JSON.stringify(createSettings('http://127.0.0.1:9')));
    const { callerUrl } = await readAddresses(daemon);
    daemon.stdout.destroy();
    daemon.stderr.destroy();
    for (let count = 0; count < 5; count += 1) {
      daemon.kill('SIGUSR2');
      await sleep(SIGNAL_INTERVAL_MS);
      const { statusCode, body } = await request(`${callerUrl}/health`);
      await body.dump();
      t.is(statusCode, 200);
    }
    daemon.kill('SIGTERM');
    t.deepEqual(await once(daemon, 'exit'), [0, null]);
  });

  describe('with an address that is in use', () => {
    const startHeld = async (t: ExecutionContext) => {
      const holder = createServer().listen(0, '127.0.0.1');
      await once(holder, 'listening');
      t.teardown(() => holder.close());
      const { port } = holder.address() as AddressInfo;
      const settings = { ...createSettings('http://127.0.0.1:9'), callers: { port } };
      const daemon = await startDaemon(t, JSON.stringify(settings));
      const [line] = (await once(daemon.stderr, 'data')) as [Buffer];
      t.regex(line.toString(), /"address_refused".*EADDRINUSE|EADDRINUSE.*"address_refused"/);
      return { daemon, holder };
    };

    it('listens when it is free', async (t) => {
      const { daemon, holder } = await startHeld(t);
      holder.close();
      const { callerUrl } = await readAddresses(daemon);
      t.is((await request(`${callerUrl}/health`)).statusCode, 200);
    });

    it('exits with 0 on SIGTERM', async (t) => {
      const { daemon } = await startHeld(t);
      const ended = waitForExit(daemon);
      daemon.kill('SIGTERM');
      t.deepEqual(await ended, { code: 0, errors: '' });
    });
  });

  describe('with invalid settings', () => {
    const faults: readonly [string, (settings: Record<string, unknown>) => void, RegExp][] = [
      ['an unknown key', (s) => Object.assign(s, { colour: 'red' }), /colour/],
      ['a missing key', (s) => delete s.vm, /vm: expected .* found nothing/],
      [
        'a value out of range',
        (s) => Object.assign(s, { callers: { port: 70_000 } }),
        /callers\.port: expected .*65535.*found 70000/,
      ],
    ];
    for (const [title, invalidate, expected] of faults) {
      it(`names ${title} and exits with 2`, async (t) => {
        const settings = createSettings('http://127.0.0.1:9');
        invalidate(settings);
        const { code, errors } = await waitForExit(await startDaemon(t, JSON.stringify(settings)));
        t.is(code, 2);
        t.regex(errors, expected);
      });
    }

    it('reports a file that is not JSON and exits with 2', async (t) => {
      const { code, errors } = await waitForExit(await startDaemon(t, '{'));
      t.is(code, 2);
      t.regex(errors, /settings_unreadable/);
    });
  });
});
