import type { Command } from '../command.js';
import { check } from './check.js';
import { diff } from './diff.js';
import { explain } from './explain.js';
import { report } from './report.js';
import { state } from './state.js';
import { status } from './status.js';

/** The commands that only read and change nothing. */
export const queries: readonly Command[] = [check, diff, state, status, explain, report];
