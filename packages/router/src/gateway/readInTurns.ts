import type { IncomingMessage } from 'node:http';

/**
 * Lets others be read and accepted between the chunks of a large body, of which the runtime would read
 * dozens in one turn of its loop.
 */
export function readInTurns(request: IncomingMessage): void {
  request.on('data', () => {
    request.pause();
    setImmediate(() => request.resume());
  });
}
