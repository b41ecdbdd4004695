import { createHash } from 'node:crypto';

/** Average that estimates the tokens of a prompt. */
const CHARACTERS_PER_TOKEN = 4;
/** Prefixes are digested at multiples of this length of the prompt's JSON. */
const BLOCK_CHARACTERS = 1024;
const MAX_BLOCKS = 32;

/** What the router keeps of a prompt instead of its text. */
export interface PromptDigest {
  /** Estimated length of the prompt in tokens. */
  readonly tokens: number;
  /** One digest for each leading block, which covers the prompt up to the end of that block. */
  readonly prefixes: readonly string[];
  /** Digest of the whole prompt and of what else tells requests apart. */
  readonly fingerprint: string;
}

/** Fields of a message that classify it and hold no text of the prompt. */
const LABEL_FIELDS = new Set(['role', 'type']);

/** Counts the characters of a prompt's texts, without field names and labels. */
function countCharacters(value: unknown): number {
  if (typeof value === 'string') return value.length;
  if (Array.isArray(value)) return value.reduce<number>((sum, v) => sum + countCharacters(v), 0);
  if (typeof value !== 'object' || value === null) return 0;
  return Object.entries(value)
    .filter(([name]) => !LABEL_FIELDS.has(name))
    .reduce<number>((sum, [, field]) => sum + countCharacters(field), 0);
}

/** Digests a prompt; `rest` goes into the fingerprint only. */
export function digestPrompt(prompt: unknown, rest: unknown): PromptDigest {
  const text = JSON.stringify(prompt);
  const prefixes: string[] = [];
  const hash = createHash('sha256');
  for (let at = 0; at + BLOCK_CHARACTERS <= text.length; at += BLOCK_CHARACTERS) {
    if (prefixes.length === MAX_BLOCKS) break;
    hash.update(text.slice(at, at + BLOCK_CHARACTERS));
    prefixes.push(hash.copy().digest('base64url').slice(0, 16));
  }
  const whole = createHash('sha256')
    .update(text)
    .update(JSON.stringify(rest) ?? '');
  return {
    tokens: Math.max(1, Math.ceil(countCharacters(prompt) / CHARACTERS_PER_TOKEN)),
    prefixes,
    fingerprint: whole.digest('base64url'),
  };
}
