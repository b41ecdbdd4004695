import { EXIT_OK, jsonFlag, type Command } from '../command.js';
import { formatReport, readResults } from '../report/index.js';

/** Draws the results of experiments as a page. */
export const report: Command = {
  name: 'report',
  operands: 'FILE',
  least: 1,
  most: 1,
  summary: 'draw the results of experiments as an HTML page with SVG',
  example: 'filbertlatch report results.jsonl > report.html',
  flags: { json: { ...jsonFlag, help: 'print the results that were read as JSON' } },
  run: async ({ operands, flags, output }) => {
    const results = await readResults(operands[0]!);
    output.write(flags.json === true ? JSON.stringify(results) : formatReport(results));
    return EXIT_OK;
  },
};
