import { deflateRawSync, inflateRawSync } from 'node:zlib';

/** First byte of a compressed message; no JSON text begins with it. */
const COMPRESSED_MARK = 0;

/** A fast level: what repeats are ids, which any level finds. */
const COMPRESSION_LEVEL = 1;

/** Longest message that is read, decompressed. */
const MAX_MESSAGE_BYTES = 262_144;

/** Bytes of IP and UDP headers, and payload of one packet on a usual link. */
const HEADER_BYTES = 28;
const PACKET_BYTES = 1472;

/** Compresses a message to VMs that read compressed ones. */
export function compressMessage(text: Buffer | string): Buffer {
  // eslint-disable-next-line n/no-sync -- a few KB: another thread takes longer
  const compressed = deflateRawSync(text, { level: COMPRESSION_LEVEL });
  return Buffer.concat([Buffer.of(COMPRESSED_MARK), compressed]);
}

/** Returns the text of a message, compressed or not; throws when it is malformed or too long. */
export function readDatagram(bytes: Buffer): string {
  if (bytes[0] !== COMPRESSED_MARK) return bytes.toString('utf8');
  const limits = { maxOutputLength: MAX_MESSAGE_BYTES };
  // eslint-disable-next-line n/no-sync -- a few KB: another thread takes longer
  return inflateRawSync(bytes.subarray(1), limits).toString('utf8');
}

/** Returns the bytes that a message takes of a link, with the headers of its packets. */
export function bytesOnLink(message: Buffer): number {
  return message.length + HEADER_BYTES * Math.ceil(message.length / PACKET_BYTES);
}
