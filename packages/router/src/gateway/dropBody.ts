import type { IncomingMessage } from 'node:http';

import { readInTurns } from './readInTurns.js';

/** Bounds of what is read and dropped. */
const MAX_DROPPED_BYTES = 8_388_608;
const MAX_DROP_MS = 2000;

/**
 * Reads the rest of a request's body and drops it, within bounds, then calls back: a connection that
 * closes before would lose the answer to a reset.
 */
export function dropBody(request: IncomingMessage, callback: () => void): void {
  let droppedBytes = 0;
  const timer = setTimeout(callback, MAX_DROP_MS);
  const end = () => {
    clearTimeout(timer);
    callback();
  };
  request.on('data', (chunk: Buffer) => {
    droppedBytes += chunk.length;
    if (droppedBytes > MAX_DROPPED_BYTES) end();
  });
  readInTurns(request);
  request.once('close', end);
  if (request.readableEnded || request.destroyed) end();
  else request.once('end', end).resume();
}
