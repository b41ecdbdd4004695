#!/usr/bin/env node
/** Gives signals their handlers, if the process is to serve; a signal ends any other command. */
async function createLife() {
  if (process.argv[2] !== 'serve') return null;
  const { ProcessLife } = await import('@filbertlatch/daemon/processLife');
  return new ProcessLife();
}

// The rest is loaded when signals have their handlers.
const life = await createLife();
const { main } = await import('../dist/src/main.js');

process.exitCode = await main(import.meta, undefined, undefined, life);
