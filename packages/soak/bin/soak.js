#!/usr/bin/env node
import { main } from '../dist/src/main.js';

// Sockets of callers may still be open when all processes have been ended.
// eslint-disable-next-line n/no-process-exit -- the report has been written
process.exit(await main(import.meta));
