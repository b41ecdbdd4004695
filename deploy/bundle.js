import { spawnSync } from 'node:child_process';
import { copyFileSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

import { build } from 'esbuild';

const resolvePath = (name) => fileURLToPath(new URL(name, import.meta.url));

/** Replaces libraries by the parts of them that the gateway uses. */
const replacedLibraries = {
  name: 'replaced-libraries',
  setup({ onResolve }) {
    onResolve({ filter: /^undici$/ }, () => ({ path: resolvePath('parts/undici.cjs') }));
    onResolve({ filter: /^(node:)?http2$/ }, () => ({ path: resolvePath('parts/http2.cjs') }));
    onResolve({ filter: /^prom-client$/ }, () => ({ path: resolvePath('parts/promClient.cjs') }));
  },
};

const directory = process.argv[2] ?? 'target';

await build({
  entryPoints: ['platform/dist/src/main.js'],
  outfile: join(directory, 'filbertlatch.cjs'),
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  minify: true,
  keepNames: true,
  plugins: [replacedLibraries],
  logLevel: 'warning',
});
copyFileSync('deploy/start.cjs', join(directory, 'start.cjs'));

// Node accepts a code cache only under the flags that it was created with.
const run = /^run = "(.*)"$/m.exec(readFileSync('deploy/system.toml', 'utf8'))[1];
const flags = run.split(' ').filter((word) => word.startsWith('--'));
const compilation = spawnSync(process.execPath, [...flags, 'deploy/compile.cjs', directory], {
  stdio: 'inherit',
});
if (compilation.status !== 0) throw new Error('the code cache could not be created');
