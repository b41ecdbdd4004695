import { errors, type Dispatcher } from 'undici';

import { parseBoundedJson } from './boundedJson.js';
import { ByteCollector } from './byteCollector.js';
import { OversizedAnswerError } from './oversizedAnswerError.js';

/** Bytes of a body nobody needs that are read so that its connection can be used again. */
const MAX_DISCARDED_BYTES = 65_536;

/** The body of an answer. */
export type AnswerReader = Dispatcher.ResponseData['body'];

/** Reads a body; throws OversizedAnswerError, and closes its connection, beyond `maxBytes`. */
export async function readBytes(body: AnswerReader, maxBytes: number): Promise<Buffer> {
  const collector = new ByteCollector();
  const refusal = () => new OversizedAnswerError(`an answer has more than ${maxBytes} bytes`);
  return new Promise((resolve, reject) => {
    body.on('data', (chunk: Buffer) => {
      if (collector.length + chunk.length <= maxBytes) collector.add(chunk);
      else body.destroy(refusal());
    });
    body.on('end', () => resolve(collector.join()));
    body.on('error', (error) => {
      reject(error instanceof errors.ResponseExceededMaxSizeError ? refusal() : error);
    });
    body.on('close', () => reject(new Error('an answer was cut off')));
  });
}

/** Reads a body as text, as `readBytes` does. */
export async function readText(body: AnswerReader, maxBytes: number): Promise<string> {
  return (await readBytes(body, maxBytes)).toString('utf8');
}

/** Reads a body as JSON with `maxValues` values, as `readBytes` does; throws when it is not JSON. */
export async function readJson(
  body: AnswerReader,
  maxBytes: number,
  maxValues: number,
): Promise<unknown> {
  return parseBoundedJson(await readBytes(body, maxBytes), maxValues);
}

/** Reads a body that nobody needs; closes the connection of a long one. Rejects when its call is aborted. */
export async function discardBody(body: AnswerReader): Promise<void> {
  await body.dump({ limit: MAX_DISCARDED_BYTES });
}
