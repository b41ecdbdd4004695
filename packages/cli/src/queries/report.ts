import { EXIT_OK, jsonFlag, type Command } from '../command.js';
import { formatReport, readResults } from '../report/index.js';

/** `report`: prints results of experiments as an HTML page. */
export const report: Command = {
  name: 'report',
  operands: 'FILE',
  minOperands: 1,
  maxOperands: 1,
  summary: 'print results of experiments as an HTML page with charts',
  example: 'filbertlatch report results.jsonl > report.html',
  flags: { json: { ...jsonFlag, help: 'print the parsed results as JSON' } },
  run: async ({ operands, flags, output }) => {
    const results = await readResults(operands[0]!);
    output.write(flags.json === true ? JSON.stringify(results) : formatReport(results));
    return EXIT_OK;
  },
};
