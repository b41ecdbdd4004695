import { writeFile } from 'node:fs/promises';

import { checkTable } from '@filbertlatch/core';

import { EXIT_OK, EXIT_USAGE, jsonFlag, type Command } from '../command.js';
import { formatFaults } from '../shared/index.js';
import { readSheets } from '../sheets/index.js';

/** Reads a table from its CSV files, checks it and writes it as JSON. */
export const tableImport: Command = {
  name: 'table import',
  operands: 'FOLDER TABLE',
  least: 2,
  most: 2,
  summary: 'read a table from CSV files, check it and write it as JSON',
  example: 'filbertlatch table import sheets table.json',
  flags: { json: jsonFlag },
  run: async ({ operands, flags, output }) => {
    const [folder, path] = operands;
    const value = await readSheets(folder!);
    const checked = checkTable(value);
    if (!checked.ok) {
      output.fail(formatFaults(folder!, checked.faults, flags.json === true));
      return EXIT_USAGE;
    }
    // What was written is kept as it is, without defaults that the files leave out.
    await writeFile(path!, `${JSON.stringify(value, null, 2)}\n`);
    const { revision } = checked.value;
    const told =
      flags.json === true ? JSON.stringify({ path, revision }) : `${path}: revision ${revision}`;
    output.write(told);
    return EXIT_OK;
  },
};
