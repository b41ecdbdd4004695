import { RouterError } from '@filbertlatch/router/errors';
import { standardError } from '@filbertlatch/router/output';

/** Prints an error to standard error; one that is not ours with its stack. */
export function reportError(error: unknown): void {
  const text =
    error instanceof RouterError
      ? `${error.code}\n${error.message}`
      : String(error instanceof Error ? error.stack : error);
  standardError.write(`filbertlatchd: ${text}`);
}
