import { Writable } from 'node:stream';

import { describe, it } from '@filbertlatch/core/testing';

import { LineOutput } from '../src/log/lineOutput.js';

const MAX_WAITING_BYTES = 262_144;

const LINE = 'x'.repeat(1000);

describe('an output whose reader stops to read', () => {
  it('keeps a bounded number of bytes, and tells how many lines it has dropped', (t) => {
    const taken: string[] = [];
    let takeNext = () => {};
    const stream = new Writable({
      decodeStrings: false,
      write: (text: string, _encoding, done) => {
        takeNext = () => {
          taken.push(text);
          done();
        };
      },
    });
    const output = new LineOutput(() => stream);
    for (let count = 0; count < 1000; count += 1) output.write(LINE);
    t.true(stream.writableLength <= MAX_WAITING_BYTES);
    const dropped = output.droppedLines;
    t.true(dropped > 0);
    while (stream.writableLength > 0) takeNext();
    t.is(taken.length, 1000 - dropped);
    output.write('next');
    takeNext();
    const report = { level: 'warn', message: 'lines_dropped', droppedLines: dropped };
    t.is(taken.at(-1), `${JSON.stringify(report)}\nnext\n`);
  });

  it('takes a line that is longer than all that may wait', (t) => {
    const stream = new Writable({ write: () => {} });
    const output = new LineOutput(() => stream);
    output.write('x'.repeat(2 * MAX_WAITING_BYTES));
    t.is(output.droppedLines, 0);
    output.write('next');
    t.is(output.droppedLines, 1);
  });
});
