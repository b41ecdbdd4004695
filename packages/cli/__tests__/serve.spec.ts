import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { text } from 'node:stream/consumers';
import { fileURLToPath } from 'node:url';

import { describe, it } from '@filbertlatch/core/testing';

const CLI_PATH = fileURLToPath(new URL('../../bin/filbertlatch.js', import.meta.url));

const SETTINGS = {
  vm: { id: 'vm-1', zone: 'zone-a', region: 'region-1' },
  callers: { port: 0 },
  admin: { port: 0, operatorToken: 'operator-token-of-the-test' },
  peers: { port: 0, sharedKey: 'shared-key-of-the-test' },
  platform: { configurationUrl: 'http://127.0.0.1:9', listUrl: 'http://127.0.0.1:9' },
};

function toDataUrl(code: string): string {
  return `data:text/javascript,${encodeURIComponent(code)}`;
}

/** A module that sends a signal to its process when that begins to load the commands. */
function createPreload(signal: NodeJS.Signals): string {
  const hooks = `export function resolve(specifier, context, next) {
    if (specifier.endsWith('/src/main.js')) process.kill(process.pid, '${signal}');
    return next(specifier, context);
  }`;
  return toDataUrl(
    `import { register } from 'node:module'; register(${JSON.stringify(toDataUrl(hooks))});`,
  );
}

/** Starts `filbertlatch serve`, which gets a signal while it loads its commands. */
async function serve(signal: NodeJS.Signals) {
  const folder = await mkdtemp(join(tmpdir(), 'filbertlatch-'));
  const path = join(folder, 'settings.json');
  await writeFile(path, JSON.stringify(SETTINGS));
  const child = spawn(
    process.execPath,
    ['--import', createPreload(signal), CLI_PATH, 'serve', path],
    { stdio: ['ignore', 'pipe', 'ignore'] },
  );
  const exited = once(child, 'exit') as Promise<[number | null, NodeJS.Signals | null]>;
  const end = async () => {
    child.kill('SIGKILL');
    await rm(folder, { recursive: true });
  };
  return { child, exited, end };
}

describe('serve, when a signal comes before its commands are loaded', () => {
  it('serves after a SIGHUP, and exits with 0 on SIGTERM', async (t) => {
    const { child, exited, end } = await serve('SIGHUP');
    t.teardown(end);
    const listening = once(child.stdout, 'data').then(([line]) => String(line));
    t.regex(await Promise.race([listening, exited.then(String)]), /"ready":true/);
    child.kill('SIGTERM');
    t.deepEqual(await exited, [0, null]);
  });

  it('exits with 0 on a SIGTERM, without listening', async (t) => {
    const { child, exited, end } = await serve('SIGTERM');
    t.teardown(end);
    const output = text(child.stdout);
    t.deepEqual(await exited, [0, null]);
    t.is(await output, '');
  });
});
