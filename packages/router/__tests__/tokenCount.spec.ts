import { describe, it } from '@filbertlatch/core/testing';

import { TokenCount } from '../src/endpoints/tokenCount.js';

function createPosted(): { posted: number[]; tokens: TokenCount } {
  const posted: number[] = [];
  return { posted, tokens: new TokenCount((count) => posted.push(count)) };
}

describe('TokenCount', () => {
  it('posts the first tokens at once', (t) => {
    const { posted, tokens } = createPosted();
    tokens.add(2);
    t.deepEqual(posted, [2]);
  });

  it('posts each token once, in fewer messages', (t) => {
    const { posted, tokens } = createPosted();
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

  it('posts nothing when nothing came', (t) => {
    const { posted, tokens } = createPosted();
    tokens.flush();
    t.deepEqual(posted, []);
  });
});
