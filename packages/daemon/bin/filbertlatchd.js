#!/usr/bin/env node
import { ProcessLife } from '../dist/src/processLife.js';

// The rest is loaded when signals have their handlers.
const life = new ProcessLife();
const { runDaemon } = await import('../dist/src/runDaemon.js');

const exitCode = await runDaemon(process.argv[2] ?? 'settings.json', life);
// A process that ends by itself takes its signal handlers away before it has ended.
// eslint-disable-next-line n/no-process-exit -- a signal would be its end
process.exit(exitCode);
