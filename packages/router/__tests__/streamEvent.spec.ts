import { describe, it } from '@filbertlatch/core/testing';
import fc from 'fast-check';

import { chunkSchema } from '../src/endpoints/engineProtocol.js';
import { isChunk } from '../src/endpoints/isChunk.js';
import { hasToken, readEvent, replaceEventId } from '../src/endpoints/streamEvent.js';

const RUNS = { seed: 20_261_203, numRuns: 2000 };

const junk = fc.oneof(fc.constant(null), fc.constant(undefined), fc.integer(), fc.string());
const mostly = <T>(arbitrary: fc.Arbitrary<T>) =>
  fc.oneof({ weight: 8, arbitrary }, { weight: 1, arbitrary: junk });
const delta = fc.record(
  { role: mostly(fc.string()), content: mostly(fc.string()), tool_calls: fc.constant([]) },
  { requiredKeys: [] },
);
const choice = fc.record(
  {
    index: mostly(fc.oneof(fc.nat(), fc.double(), fc.constant(-1))),
    delta: mostly(delta),
    text: mostly(fc.string()),
    finish_reason: mostly(fc.constantFrom('stop', null)),
  },
  { requiredKeys: [] },
);
const usage = fc.record({ completion_tokens: mostly(fc.double()) }, { requiredKeys: [] });
const event = fc.record(
  { id: mostly(fc.string()), choices: mostly(fc.array(mostly(choice))), usage: mostly(usage) },
  { requiredKeys: [] },
);

describe('a stream event', () => {
  describe('isChunk', () => {
    it('accepts exactly what chunkSchema accepts', (t) => {
      let taken = 0;
      fc.assert(
        fc.property(mostly(event), (value) => {
          const isTaken = chunkSchema.safeParse(value).success;
          if (isTaken) taken += 1;
          return isChunk(value) === isTaken;
        }),
        RUNS,
      );
      t.true(taken > 0);
      t.false(isChunk([]));
    });
  });

  describe('replaceEventId', () => {
    const chunk = { id: 'a-1', choices: [{ index: 0, delta: { content: '"id":"a-1"' } }] };
    const renamed = { ...chunk, id: 'r-1' };
    const forms: [string, string][] = [
      ['with the id first', JSON.stringify(chunk)],
      ['with the id last', JSON.stringify({ choices: chunk.choices, id: chunk.id })],
      ['with spaces', JSON.stringify(chunk, null, 1).replaceAll('\n', '')],
      ['over several lines', JSON.stringify(chunk).replace(',', ',\n')],
    ];
    for (const [title, data] of forms) {
      it(`changes only the id of an event ${title}`, (t) => {
        const text = replaceEventId(readEvent(data, 'a-1'), 'r-1');
        t.false(text.includes('\n'));
        t.deepEqual(JSON.parse(text), renamed);
      });
    }
  });

  describe('readEvent', () => {
    const faults: [string, string, string][] = [
      ['the id of another attempt', '{"id":"a-2","choices":[]}', 'echo-mismatch'],
      ['data that is not JSON', '{"id":"a-1"', 'malformed'],
      ['data without choices', '{"id":"a-1"}', 'malformed'],
    ];
    for (const [title, data, failure] of faults) {
      it(`refuses ${title}`, (t) => {
        t.like(
          t.throws(() => readEvent(data, 'a-1')),
          { failure },
        );
      });
    }
  });

  describe('hasToken', () => {
    const table: [string, object, boolean][] = [
      ['a text', { choices: [{ index: 0, text: 'a' }] }, true],
      ['a delta', { choices: [{ index: 0, delta: { content: 'a' } }] }, true],
      ['a tool call', { choices: [{ index: 0, delta: { tool_calls: [] } }] }, true],
      ['a role without content', { choices: [{ index: 0, delta: { role: 'assistant' } }] }, false],
      ['an empty delta', { choices: [{ index: 0, delta: { content: '' } }] }, false],
      ['usage without choices', { choices: [] }, false],
    ];
    for (const [title, rest, expected] of table) {
      it(`returns ${expected} for ${title}`, (t) => {
        const data = JSON.stringify({ id: 'a-1', ...rest });
        t.is(hasToken(readEvent(data, 'a-1')), expected);
      });
    }
  });
});
