import { Writable } from 'node:stream';

import { createLogger, format, transports, type Logger } from 'winston';

import { standardError, type LineOutput } from './lineOutput.js';

/** Creates the log of one VM: JSON lines on an output, standard error by default. */
export function createLog(vmId: string, level: string, output: LineOutput = standardError): Logger {
  const stream = new Writable({
    decodeStrings: false,
    write: (line: string, _encoding, done) => {
      output.write(line);
      done();
    },
  });
  return createLogger({
    level,
    defaultMeta: { vm: vmId },
    format: format.combine(format.timestamp(), format.json()),
    transports: [new transports.Stream({ stream, eol: '' })],
  });
}
