import { createLogger, format, transports, type Logger } from 'winston';

/** Creates the log of one VM: JSON lines on standard error, for changes of state only. */
export function createLog(vmId: string, level: string): Logger {
  return createLogger({
    level,
    defaultMeta: { vm: vmId },
    format: format.combine(format.timestamp(), format.json()),
    transports: [new transports.Console({ stderrLevels: ['error', 'warn', 'info'] })],
  });
}
