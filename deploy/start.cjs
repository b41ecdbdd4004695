// Starts the bundle from the code that the build compiled: compiling takes most of a start.
const { readFileSync } = require('node:fs');
const { createRequire, wrap } = require('node:module');
const { join } = require('node:path');
const { Script } = require('node:vm');

const bundlePath = join(__dirname, 'filbertlatch.cjs');
const codePath = join(__dirname, 'filbertlatch.code');

function readCode() {
  try {
    return readFileSync(codePath);
  } catch (error) {
    process.stderr.write(`filbertlatch: the bundle is compiled anew: ${error.message}\n`);
    return undefined;
  }
}

/** Runs the bundle, from compiled code where there is some; returns the script. */
function runBundle(cachedData) {
  const source = wrap(readFileSync(bundlePath, 'utf8'));
  const script = new Script(source, { filename: bundlePath, cachedData });
  if (script.cachedDataRejected === true) {
    // Code of another version of the runtime, or compiled under other flags, is of no use.
    process.stderr.write('filbertlatch: compiled code refused, the bundle is compiled anew\n');
  }
  const bundle = { exports: {} };
  const run = script.runInThisContext();
  run(bundle.exports, createRequire(bundlePath), bundle, bundlePath, __dirname);
  return script;
}

if (require.main === module) runBundle(readCode());

module.exports = { codePath, runBundle };
