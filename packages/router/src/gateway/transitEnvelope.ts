import * as z from 'zod';

import type { AnswerNote } from './callerAnswer.js';
import { dropHeaders, findHeader } from './headers.js';

/** Begins the path of a request that a VM sends to another; the caller's own follows. */
export const TRANSIT_PATH = '/transit';

/** Name of the header with the envelope, on requests and answers between VMs. */
const ENVELOPE_HEADER = 'filbertlatch-transit';

/** Longest envelope that is read. */
const MAX_ENVELOPE_LENGTH = 4096;

const MAX_MS = 86_400_000;

const text = z.string().max(1024);

const originSchema = z
  .strictObject({ serviceId: text.min(1), version: text.nullable() })
  .nullable();

const termsSchema = z.strictObject({
  /** VM that sends the request, for the log. */
  from: text.min(1),
  /** Milliseconds until the sender gives up. */
  remainingMs: z.number().min(0).max(MAX_MS),
  /** Id of the last event that the caller has; null for a stream that begins. */
  lastEventId: text.nullable(),
  /** Where the stream began that goes on; null when it begins, or nobody knows. */
  origin: originSchema,
});

/** What a VM says of a request that it sends by way of another. */
export type TransitTerms = z.infer<typeof termsSchema>;

const noteSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('error'),
    reason: text,
    retryAfterMs: z.number().min(0).max(MAX_MS).nullable(),
  }),
  z.strictObject({ kind: z.literal('answer'), origin: originSchema }),
]);

/** Returns the headers without the envelope. */
export function removeEnvelope(headers: readonly string[]): string[] {
  return dropHeaders(headers, (name) => name === ENVELOPE_HEADER);
}

function read(headers: readonly string[]): unknown {
  const value = findHeader(headers, ENVELOPE_HEADER) ?? '';
  if (value.length > MAX_ENVELOPE_LENGTH) return null;
  try {
    return JSON.parse(decodeURIComponent(value));
  } catch {
    return null;
  }
}

function add(headers: readonly string[], content: TransitTerms | AnswerNote): string[] {
  return [
    ...removeEnvelope(headers),
    ...['Filbertlatch-Transit', encodeURIComponent(JSON.stringify(content))],
  ];
}

/** Adds terms to the headers of a request, in place of what a caller may have set. */
export function addTerms(headers: readonly string[], terms: TransitTerms): string[] {
  return add(headers, terms);
}

/** Reads the terms of a request; null without valid ones. */
export function readTerms(headers: readonly string[]): TransitTerms | null {
  return termsSchema.safeParse(read(headers)).data ?? null;
}

/** Adds a note to the headers of an answer, in place of what an endpoint may have set. */
export function addNote(headers: readonly string[], note: AnswerNote): string[] {
  return add(headers, note);
}

/** Reads the note of an answer; null without a valid one. */
export function readNote(headers: readonly string[]): AnswerNote | null {
  return noteSchema.safeParse(read(headers)).data ?? null;
}
