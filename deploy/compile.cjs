// Starts a gateway on free ports, so that the code of all that a start calls is compiled, and
// keeps that code beside the bundle.
const { mkdtempSync, rmSync, writeFileSync } = require('node:fs');
const { tmpdir } = require('node:os');
const { join, resolve } = require('node:path');

/** Long enough for a start, and for the first calls that it makes. */
const WARM_UP_MS = 1500;

const directory = mkdtempSync(join(tmpdir(), 'filbertlatch-'));
const settingsPath = join(directory, 'settings.json');
const freePort = '127.0.0.1:0';
const settings = {
  vm: { id: 'build', zone: 'build' },
  listen: { callers: freePort, ready: freePort, control: freePort },
  seeds: [],
  // Nobody listens on the discard port: the calls are refused at once.
  platform: { address: '127.0.0.1:9' },
  graceSeconds: 1,
  repeats: { ratio: 0.1, slack: 1, windowSeconds: 10 },
};
writeFileSync(settingsPath, JSON.stringify(settings));
process.env.FILBERTLATCH_NODE_FILE = settingsPath;
process.stdout.write = () => true;

// eslint-disable-next-line import-x/no-dynamic-require -- built beforehand
const { codePath, runBundle } = require(resolve(process.argv[2], 'start.cjs'));

const script = runBundle();
setTimeout(() => {
  writeFileSync(codePath, script.createCachedData());
  rmSync(directory, { recursive: true });
  // eslint-disable-next-line n/no-process-exit -- the gateway would run on
  process.exit(0);
}, WARM_UP_MS);
