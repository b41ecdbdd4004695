import { AnswerBody } from '../../src/gateway/answerBody.js';
import { AnswerBuffers } from '../../src/gateway/answerBuffers.js';
import { MemoryAccount } from '../../src/memory/index.js';
import { playMeasured } from '../../src/testing/index.js';

const MAX_BYTES = 16_777_216;

void playMeasured(async (count) => {
  const buffers = new AnswerBuffers(new MemoryAccount(MAX_BYTES));
  const body = new AnswerBody(
    buffers,
    () => {},
    () => {},
  );
  for (let index = 0; index < Number(count); index += 1) body.push(Buffer.of(index % 256));
  return body.join().length;
});
