#!/usr/bin/env node
import { runDaemon } from '../dist/src/runDaemon.js';

process.exitCode = await runDaemon(process.argv[2] ?? 'settings.json');
