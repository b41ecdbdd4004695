import { createLogger, format, transports, type Logger } from 'winston';

const ALL_LEVELS = ['error', 'warn', 'info'];

/**
 * Creates the log of one VM: JSON lines, on standard error for the levels in stderrLevels and on
 * standard output for the rest.
 */
export function createLog(
  vmId: string,
  level: string,
  stderrLevels: readonly string[] = ALL_LEVELS,
): Logger {
  return createLogger({
    level,
    defaultMeta: { vm: vmId },
    format: format.combine(format.timestamp(), format.json()),
    transports: [new transports.Console({ stderrLevels: [...stderrLevels] })],
  });
}
