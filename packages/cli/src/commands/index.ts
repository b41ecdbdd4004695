import type { Command } from '../command.js';
import { demo } from './demoCommand.js';
import { drain } from './drain.js';
import { load } from './load.js';
import { serve } from './serve.js';
import { tableExport } from './tableExport.js';
import { tableImport } from './tableImport.js';

/** The commands that run something or write files. */
export const commands: readonly Command[] = [serve, demo, drain, load, tableExport, tableImport];
