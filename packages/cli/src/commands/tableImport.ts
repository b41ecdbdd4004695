import { writeFile } from 'node:fs/promises';

import { checkTable } from '@filbertlatch/core';

import { EXIT_OK, EXIT_USAGE, jsonFlag, type Command } from '../command.js';
import { formatFaults } from '../shared/index.js';
import { readSheets } from '../sheets/index.js';

/** `table import`: reads a table from CSV files, checks it and writes it as JSON. */
export const tableImport: Command = {
  name: 'table import',
  operands: 'FOLDER TABLE',
  minOperands: 2,
  maxOperands: 2,
  summary: 'read a table from CSV files, check it and write it as JSON',
  example: 'filbertlatch table import sheets table.json',
  flags: { json: jsonFlag },
  run: async ({ operands, flags, output }) => {
    const [folder, path] = operands;
    const value = await readSheets(folder!);
    const checked = checkTable(value);
    if (!checked.ok) {
      output.writeError(formatFaults(folder!, checked.faults, flags.json === true));
      return EXIT_USAGE;
    }
    // Writes the values as read: the checked ones would add defaults that the files leave out.
    await writeFile(path!, `${JSON.stringify(value, null, 2)}\n`);
    const { revision } = checked.value;
    const message =
      flags.json === true ? JSON.stringify({ path, revision }) : `${path}: revision ${revision}`;
    output.write(message);
    return EXIT_OK;
  },
};
