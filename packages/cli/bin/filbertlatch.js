#!/usr/bin/env node
import { main } from '../dist/src/main.js';

process.exitCode = await main(import.meta);
