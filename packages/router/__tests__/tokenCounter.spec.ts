import { describe, it } from '@filbertlatch/core/testing';

import { TokenCounter } from '../src/endpoints/tokenCounter.js';

function createCounter(): { posted: number[]; tokens: TokenCounter } {
  const posted: number[] = [];
  return { posted, tokens: new TokenCounter((count) => posted.push(count)) };
}

describe('TokenCounter', () => {
  it('posts the first tokens at once', (t) => {
    const { posted, tokens } = createCounter();
    tokens.add(2);
    t.deepEqual(posted, [2]);
  });

  it('posts each token once, in fewer messages than tokens', (t) => {
    const { posted, tokens } = createCounter();
    for (let i = 0; i < 100; i += 1) tokens.add(1);
    tokens.flush();
    tokens.flush();
    t.is(
      posted.reduce((sum, count) => sum + count, 0),
      100,
    );
    t.is(tokens.total, 100);
    t.true(posted.length < 20);
  });

  it('posts nothing when no token was added', (t) => {
    const { posted, tokens } = createCounter();
    tokens.flush();
    t.deepEqual(posted, []);
  });
});
