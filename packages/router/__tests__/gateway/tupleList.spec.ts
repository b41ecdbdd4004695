import { createRandom, randomInteger } from '@filbertlatch/core';
import { describe, it } from '@filbertlatch/core/testing';
import * as z from 'zod';

import { createTextList, createTupleList } from '../../src/gateway/tupleList.js';

const count = z.number().min(0).max(1e9);
const text = z.string().min(1).max(256);
const instant = z.number().min(0);
const age = z.number().min(0).max(86_400_000);

/** Values that a field may and may not hold. */
const values: readonly unknown[] = [
  ...['e1', '', 'x'.repeat(256), 'x'.repeat(257), '1'],
  ...[0, -0, 1.5, 1e9, 1e9 + 1, -1, Number.NaN, Number.POSITIVE_INFINITY],
  ...[86_400_000, 86_400_001, 1.8e12],
  ...[null, undefined, true, [], ['e1'], {}, { length: 2 }],
];

const DRAWN_LISTS = 4000;
const MAX_LENGTH = 3;

describe('the schema of a list of tuples', () => {
  it('accepts and refuses what a schema for each field accepts and refuses', (t) => {
    const random = createRandom(7);
    const draw = <T>(from: readonly T[]) => from[randomInteger(random, from.length)]!;
    const perField = z.array(z.tuple([text, count, count])).max(MAX_LENGTH);
    const list = createTupleList(['text', 'count', 'count'], MAX_LENGTH);
    const sound = () => [draw(['e1', 'x'.repeat(256)]), draw([0, 1.5, 1e9]), 3] as unknown[];
    let accepted = 0;
    for (let round = 0; round < DRAWN_LISTS; round += 1) {
      const drawn: unknown[] = Array.from({ length: randomInteger(random, 5) }, sound);
      if (drawn.length > 0 && randomInteger(random, 2) === 0) {
        const tuple = draw(drawn) as unknown[];
        tuple[randomInteger(random, 4)] = draw(values);
      }
      const verdict = list.safeParse(drawn);
      t.is(verdict.success, perField.safeParse(drawn).success, JSON.stringify(drawn));
      if (verdict.success) accepted += 1;
    }
    t.true(accepted > DRAWN_LISTS / 4 && accepted < DRAWN_LISTS);
  });

  it('holds each field to its own range', (t) => {
    const fields = { text, count, instant, age };
    (['text', 'count', 'instant', 'age'] as const).forEach((field) => {
      const list = createTupleList([field], 1);
      values.forEach((value) => {
        const verdict = list.safeParse([[value]]).success;
        t.is(verdict, fields[field].safeParse(value).success, `${field} ${String(value)}`);
      });
    });
  });

  it('refuses what is no list of tuples', (t) => {
    const list = createTupleList(['text', 'count'], MAX_LENGTH);
    values.forEach((value) => {
      const isEmptyList = Array.isArray(value) && value.length === 0;
      t.is(list.safeParse(value).success, isEmptyList);
      t.false(list.safeParse([value]).success);
    });
  });
});

describe('the schema of a list of texts', () => {
  it('accepts and refuses what a schema for each text accepts and refuses', (t) => {
    const list = createTextList(MAX_LENGTH);
    const perText = z.array(text).max(MAX_LENGTH);
    values.forEach((value) => {
      t.is(list.safeParse(value).success, perText.safeParse(value).success);
      t.is(list.safeParse([value]).success, perText.safeParse([value]).success);
    });
    t.false(list.safeParse(['a', 'b', 'c', 'd']).success);
  });
});
