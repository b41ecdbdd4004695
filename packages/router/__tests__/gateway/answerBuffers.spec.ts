import { describe, it } from '@filbertlatch/core/testing';

import { MemoryAccount } from '../../src/memory/index.js';
import { AnswerBuffers } from '../../src/gateway/answerBuffers.js';

const MEBIBYTE = 1_048_576;

class TestAnswer {
  isGivenUp = false;

  isResumed = false;

  readonly #buffers: AnswerBuffers;

  readonly expectedBytes: number | null;

  constructor(buffers: AnswerBuffers, expectedBytes: number | null = null) {
    this.#buffers = buffers;
    this.expectedBytes = expectedBytes;
  }

  resume(): void {
    this.isResumed = true;
  }

  giveUp(): void {
    this.isGivenUp = true;
    this.#buffers.release(this);
  }
}

describe('the memory for answers', () => {
  it('is taken from the largest when all need too much', (t) => {
    const buffers = new AnswerBuffers(new MemoryAccount(16 * MEBIBYTE));
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
    const buffers = new AnswerBuffers(new MemoryAccount(16 * MEBIBYTE));
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

  it('goes to the oldest answer of a known length, for which the others wait', async (t) => {
    const buffers = new AnswerBuffers(new MemoryAccount(16 * MEBIBYTE));
    const answers = [1, 2, 3].map(() => new TestAnswer(buffers, 8 * MEBIBYTE));
    const [first, second, third] = answers as [TestAnswer, TestAnswer, TestAnswer];
    t.true(buffers.add(first, 7 * MEBIBYTE));
    t.true(buffers.add(second, 7 * MEBIBYTE));
    t.false(buffers.add(third, 3 * MEBIBYTE));
    t.true(buffers.add(new TestAnswer(buffers), 1000));
    t.false(buffers.add(second, MEBIBYTE));
    t.true(buffers.add(first, MEBIBYTE));
    buffers.release(first);
    await new Promise(setImmediate);
    t.deepEqual(
      answers.map(({ isGivenUp, isResumed }) => [isGivenUp, isResumed]),
      [
        [false, false],
        [false, true],
        [false, true],
      ],
    );
  });

  it('is taken from the largest that has come to a halt while others wait, one at a time', (t) => {
    let instant = 0;
    const clock = { now: () => instant, listenedMs: (since: number) => instant - since };
    const buffers = new AnswerBuffers(new MemoryAccount(16 * MEBIBYTE), clock);
    const answers = [1, 2, 3, 4, 5].map(() => new TestAnswer(buffers, 8 * MEBIBYTE));
    const [small, halted, largest, going, waiting] = answers;
    buffers.add(small!, 20_000);
    buffers.add(halted!, 3 * MEBIBYTE);
    buffers.add(largest!, 5 * MEBIBYTE);
    buffers.add(going!, 6 * MEBIBYTE);
    instant = 2000;
    buffers.maintain();
    t.false(largest!.isGivenUp);
    buffers.add(waiting!, 3 * MEBIBYTE);
    buffers.add(going!, 1000);
    buffers.maintain();
    t.deepEqual(
      answers.map(({ isGivenUp }) => isGivenUp),
      [false, false, true, false, false],
    );
  });
});
