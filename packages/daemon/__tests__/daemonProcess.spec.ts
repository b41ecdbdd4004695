import { spawn, type ChildProcessByStdio } from 'node:child_process';
import { createHash } from 'node:crypto';
import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { Readable } from 'node:stream';
import { text } from 'node:stream/consumers';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

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

async function startDaemon(t: ExecutionContext, content: string): Promise<Daemon> {
  const folder = await mkdtemp(join(tmpdir(), 'filbertlatch-'));
  const path = join(folder, 'settings.json');
  await writeFile(path, content);
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

describe('the daemon as a process', () => {
  it('finishes an open stream before it exits on SIGTERM', async (t) => {
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
    daemon.kill('SIGTERM');
    const answer = await body.text();
    t.is(answer.split('"content":" w').length - 1, ANSWER_TOKENS);
    t.true(answer.endsWith('data: [DONE]\n\n'));
    t.is((await ended).code, 0);
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
