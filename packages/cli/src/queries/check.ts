import { checkShape, checkTable, type Fault } from '@filbertlatch/core';
import { settingsSchema } from '@filbertlatch/router';

import { EXIT_OK, EXIT_USAGE, jsonFlag, type Command } from '../command.js';
import { formatFaults, readJsonFile, UsageError } from '../shared/index.js';

type Kind = 'table' | 'settings';

function guessKind(value: unknown): Kind {
  const keys = Object.keys(typeof value === 'object' && value !== null ? value : {});
  return keys.includes('classes') || keys.includes('revision') ? 'table' : 'settings';
}

function readKind(flag: unknown, value: unknown): Kind {
  if (flag === undefined) return guessKind(value);
  if (flag === 'table' || flag === 'settings') return flag;
  throw new UsageError('--as takes table or settings');
}

function findFaults(kind: Kind, value: unknown): readonly Fault[] {
  const checked = kind === 'table' ? checkTable(value) : checkShape(settingsSchema, value);
  return checked.ok ? [] : checked.faults;
}

/** `check`: checks a table or settings and prints every fault. */
export const check: Command = {
  name: 'check',
  operands: 'FILE',
  minOperands: 1,
  maxOperands: 1,
  summary: 'check a table or settings and print every fault',
  example: 'filbertlatch check examples/newsroom/table.json',
  flags: {
    as: { type: 'string', help: 'table or settings; default: detected from the file’s keys' },
    json: jsonFlag,
  },
  run: async ({ operands, flags, output }) => {
    const [file] = operands;
    const value = await readJsonFile(file!);
    const kind = readKind(flags.as, value);
    const faults = findFaults(kind, value);
    const isJson = flags.json === true;
    if (faults.length > 0) {
      output[isJson ? 'write' : 'writeError'](formatFaults(file!, faults, isJson));
      return EXIT_USAGE;
    }
    output.write(isJson ? JSON.stringify({ file, ok: true, kind }) : `${file}: good ${kind}`);
    return EXIT_OK;
  },
};
