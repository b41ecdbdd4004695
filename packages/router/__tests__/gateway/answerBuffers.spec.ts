import { describe, it } from '@filbertlatch/core/testing';

import { AnswerBuffers } from '../../src/gateway/answerBuffers.js';

const MEBIBYTE = 1_048_576;

class TestAnswer {
  isGivenUp = false;

  readonly #buffers: AnswerBuffers;

  constructor(buffers: AnswerBuffers) {
    this.#buffers = buffers;
  }

  giveUp(): void {
    this.isGivenUp = true;
    this.#buffers.release(this);
  }
}

describe('the memory for answers', () => {
  it('is taken from the largest when all need too much', (t) => {
    const buffers = new AnswerBuffers();
    const [small, large, medium] = [1, 2, 3].map(() => new TestAnswer(buffers));
    buffers.add(small!, 1 * MEBIBYTE);
    buffers.add(large!, 7 * MEBIBYTE);
    buffers.add(medium!, 6 * MEBIBYTE);
    buffers.add(small!, 2.5 * MEBIBYTE);
    t.deepEqual(
      [small, large, medium].map((answer) => answer!.isGivenUp),
      [false, true, false],
    );
  });

  it('is the same after thousands of answers that ended or were given up', (t) => {
    const buffers = new AnswerBuffers();
    for (let index = 0; index < 5000; index += 1) {
      const answer = new TestAnswer(buffers);
      buffers.add(answer, 7.5 * MEBIBYTE);
      buffers.release(answer);
      buffers.release(answer);
    }
    const [first, second, third] = [1, 2, 3].map(() => new TestAnswer(buffers));
    buffers.add(first!, 7.5 * MEBIBYTE);
    buffers.add(second!, 7.5 * MEBIBYTE);
    t.false(first!.isGivenUp || second!.isGivenUp);
    buffers.add(third!, 7.5 * MEBIBYTE);
    t.true(first!.isGivenUp || second!.isGivenUp || third!.isGivenUp);
  });
});
