import { describe, it } from '@filbertlatch/core/testing';

import { digestPrompt } from '../src/callers/promptDigest.js';

describe('digestPrompt', () => {
  const content = 'x'.repeat(400);

  it('counts the texts of a prompt, not the frame around them', (t) => {
    t.is(digestPrompt(content, {}).tokens, 100);
    t.is(digestPrompt([{ role: 'user', content }], {}).tokens, 100);
    const parts = [{ role: 'user', content: [{ type: 'text', text: content }] }];
    t.is(digestPrompt(parts, {}).tokens, 100);
  });

  it('counts what a message carries beside its content', (t) => {
    const call = { id: 'abcd', function: { name: 'find', arguments: content } };
    t.is(digestPrompt([{ role: 'assistant', tool_calls: [call] }], {}).tokens, 102);
  });
});
