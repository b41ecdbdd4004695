import { describe, it } from '@filbertlatch/core/testing';

import { AnswerReader } from '../src/stress/answerReader.js';

const first = 'HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nContent-Length: 3\r\n\r\nabc';
const second =
  'HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\nattempt-id: a2\r\n\r\n4\r\n\r\n\r\n\r\n0\r\n\r\n';

describe('AnswerReader', () => {
  it('splits answers wherever the bytes are cut', (t) => {
    const bytes = Buffer.from(first + second + first);
    Array.from({ length: bytes.length }, (_, at) => at).forEach((at) => {
      const reader = new AnswerReader();
      const answers = [...reader.push(bytes.subarray(0, at)), ...reader.push(bytes.subarray(at))];
      t.deepEqual(
        answers.map(({ status, id }) => [status, id]),
        [
          [200, 'a1'],
          [503, 'a2'],
          [200, 'a1'],
        ],
      );
      t.false(reader.isInside);
    });
  });

  it('tells that an answer has begun', (t) => {
    const reader = new AnswerReader();
    t.deepEqual(reader.push(Buffer.from(first.slice(0, -1))), []);
    t.true(reader.isInside);
  });
});
