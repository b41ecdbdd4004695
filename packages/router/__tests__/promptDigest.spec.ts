import { describe, it } from '@filbertlatch/core/testing';

import { digestPrompt } from '../src/callers/promptDigest.js';

describe('digestPrompt', () => {
  const content = 'x'.repeat(400);

  it('estimates tokens from the texts of a prompt, without roles and part types', (t) => {
    t.is(digestPrompt(content, {}).tokens, 100);
    t.is(digestPrompt([{ role: 'user', content }], {}).tokens, 100);
    const parts = [{ role: 'user', content: [{ type: 'text', text: content }] }];
    t.is(digestPrompt(parts, {}).tokens, 100);
  });

  it('counts the tool calls of a message too', (t) => {
    const call = { id: 'abcd', function: { name: 'find', arguments: content } };
    t.is(digestPrompt([{ role: 'assistant', tool_calls: [call] }], {}).tokens, 102);
  });
});
