import { describe, it } from '@filbertlatch/core/testing';

import { AnswerContinuity } from '../../src/gateway/answerContinuity.js';

/** Records bytes at these times after the start. */
function createAnswer(...times: readonly number[]): AnswerContinuity {
  const continuity = new AnswerContinuity(1000);
  times.forEach((time) => continuity.recordBytes(1000 + time));
  return continuity;
}

describe('the process that sends an answer', () => {
  it('lives until a process could have started in its place', (t) => {
    const continuity = createAnswer(400, 800);
    t.true(continuity.holdsAt(2299));
    t.false(continuity.holdsAt(2300));
  });

  it('is not known to live before the first bytes are due', (t) => {
    t.true(createAnswer().holdsAt(1499));
    t.false(createAnswer().holdsAt(1500));
  });

  it('is not known to live after a gap, when bytes from before a crash may arrive', (t) => {
    t.false(createAnswer(100, 700).holdsAt(1700));
    t.false(createAnswer(100, 700, 1000, 1199).holdsAt(2199));
  });

  it('lives when the answer has gone on after a gap', (t) => {
    t.true(createAnswer(100, 700, 1000, 1200).holdsAt(2200));
  });
});
