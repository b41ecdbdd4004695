// Before all else: without a handler a signal ends the process. The bundle sets its own ones in the
// same turn, which get the signals that come before it ends.
['SIGTERM', 'SIGINT', 'SIGHUP', 'SIGUSR2'].forEach((signal) => process.on(signal, () => {}));

// Starts the bundle from the code cache that the build wrote; without it, compiling takes most of
// the start-up time.
const { readFileSync } = require('node:fs');
const { createRequire, wrap } = require('node:module');
const { join } = require('node:path');
const { Script } = require('node:vm');

const bundlePath = join(__dirname, 'filbertlatch.cjs');
const cachePath = join(__dirname, 'filbertlatch.code');

/** Reports to standard error; that its reader has gone does not end the process. */
function report(text) {
  process.stderr.on('error', () => {});
  process.stderr.write(`filbertlatch: ${text}\n`);
}

function readCodeCache() {
  try {
    return readFileSync(cachePath);
  } catch (error) {
    report(`compiling the bundle without the code cache: ${error.message}`);
    return undefined;
  }
}

/** Runs the bundle, with the code cache if one is given; returns the script. */
function runBundle(cachedData) {
  const source = wrap(readFileSync(bundlePath, 'utf8'));
  const script = new Script(source, { filename: bundlePath, cachedData });
  if (script.cachedDataRejected === true) {
    // V8 rejects a cache of another Node version or of other flags.
    report('code cache rejected, compiling the bundle without it');
  }
  const bundle = { exports: {} };
  const run = script.runInThisContext();
  run(bundle.exports, createRequire(bundlePath), bundle, bundlePath, __dirname);
  return script;
}

if (require.main === module) runBundle(readCodeCache());

module.exports = { cachePath, runBundle };
