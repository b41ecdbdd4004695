import { build } from 'esbuild';

// Libraries in CommonJS call `require`, which a bundle in ESM has to bring along.
const banner =
  "import { createRequire as __createRequire } from 'node:module'; const require = __createRequire(import.meta.url);";

await build({
  entryPoints: ['platform/dist/src/main.js'],
  outfile: 'target/filbertlatch.mjs',
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  minify: true,
  keepNames: true,
  banner: { js: banner },
  logLevel: 'warning',
});
