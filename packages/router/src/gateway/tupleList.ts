import * as z from 'zod';

/** Oldest news that is told. */
export const MAX_AGE_MS = 86_400_000;

const MAX_TEXT_LENGTH = 256;

/**
 * What a field of a tuple may hold: a text that is not empty, or a number of things, of epoch
 * milliseconds, or of milliseconds since something.
 */
export type TupleField = 'text' | 'count' | 'instant' | 'age';

const MAX_NUMBERS = { count: 1e9, instant: Number.MAX_VALUE, age: MAX_AGE_MS };

/** A tuple with these fields. */
export type FieldTuple<T extends readonly TupleField[]> = {
  -readonly [Index in keyof T]: T[Index] extends 'text' ? string : number;
};

function isField(value: unknown, field: TupleField): boolean {
  if (field === 'text') {
    return typeof value === 'string' && value.length >= 1 && value.length <= MAX_TEXT_LENGTH;
  }
  return typeof value === 'number' && value >= 0 && value <= MAX_NUMBERS[field];
}

function isTuple(value: unknown, fields: readonly TupleField[]): boolean {
  if (!Array.isArray(value) || value.length !== fields.length) return false;
  for (let index = 0; index < fields.length; index += 1) {
    if (!isField(value[index], fields[index]!)) return false;
  }
  return true;
}

/**
 * Creates the schema of a list of at most `maxLength` tuples. Hot path: one loop checks them, since
 * a schema for each field costs most of what a message from a peer costs.
 */
export function createTupleList<const T extends readonly TupleField[]>(
  fields: T,
  maxLength: number,
) {
  return z.custom<FieldTuple<T>[]>((value) => {
    if (!Array.isArray(value) || value.length > maxLength) return false;
    for (const tuple of value) if (!isTuple(tuple, fields)) return false;
    return true;
  });
}

/** Creates the schema of a list of at most `maxLength` texts, checked in the same way. */
export function createTextList(maxLength: number) {
  return z.custom<string[]>((value) => {
    if (!Array.isArray(value) || value.length > maxLength) return false;
    for (const text of value) if (!isField(text, 'text')) return false;
    return true;
  });
}
