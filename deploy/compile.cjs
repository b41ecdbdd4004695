// Starts a gateway on free ports so that V8 compiles the functions that a start calls, and writes
// them to a code cache beside the bundle.
const { mkdtempSync, rmSync, writeFileSync } = require('node:fs');
const { tmpdir } = require('node:os');
const { join, resolve } = require('node:path');

/** Time for a start and its first calls to the store. */
const WARM_UP_MS = 1500;

const directory = mkdtempSync(join(tmpdir(), 'filbertlatch-'));
const settingsPath = join(directory, 'settings.json');
const freePort = '127.0.0.1:0';
const settings = {
  vm: { id: 'build', zone: 'build' },
  listen: { callers: freePort, ready: freePort, control: freePort },
  seeds: [],
  // Nothing listens on the discard port: connections are refused at once.
  platform: { address: '127.0.0.1:9' },
  graceSeconds: 1,
  repeats: { ratio: 0.1, slack: 1, windowSeconds: 10 },
};
writeFileSync(settingsPath, JSON.stringify(settings));
process.env.FILBERTLATCH_NODE_FILE = settingsPath;
process.stdout.write = () => true;

// eslint-disable-next-line import-x/no-dynamic-require -- built beforehand
const { cachePath, runBundle } = require(resolve(process.argv[2], 'start.cjs'));

const script = runBundle();
setTimeout(() => {
  writeFileSync(cachePath, script.createCachedData());
  rmSync(directory, { recursive: true });
  // eslint-disable-next-line n/no-process-exit -- the gateway would run on
  process.exit(0);
}, WARM_UP_MS);
