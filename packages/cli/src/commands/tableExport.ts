import { EXIT_OK, jsonFlag, type Command } from '../command.js';
import { readTable } from '../shared/index.js';
import { writeSheets } from '../sheets/index.js';

/** `table export`: writes a table as CSV, one file a sheet. */
export const tableExport: Command = {
  name: 'table export',
  operands: 'TABLE FOLDER',
  minOperands: 2,
  maxOperands: 2,
  summary: 'write a table as CSV files for a spreadsheet',
  example: 'filbertlatch table export examples/newsroom/table.json sheets',
  flags: { json: jsonFlag },
  run: async ({ operands, flags, output }) => {
    const [path, folder] = operands;
    const files = await writeSheets(await readTable(path!), folder!);
    output.write(flags.json === true ? JSON.stringify({ files }) : files.join('\n'));
    return EXIT_OK;
  },
};
