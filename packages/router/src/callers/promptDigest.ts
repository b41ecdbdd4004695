import { createHash } from 'node:crypto';

const CHARACTERS_PER_TOKEN = 4;
const BLOCK_CHARACTERS = 1024;
const MOST_BLOCKS = 32;

/** What the router learns from a prompt without keeping it. */
export interface PromptDigest {
  readonly tokens: number;
  /** Digests of the leading blocks, each covering all before it. */
  readonly prefixes: readonly string[];
  readonly fingerprint: string;
}

/** Fields of a message that say what it is; they are no text of the prompt. */
const LABELS = new Set(['role', 'type']);

/** Counts the characters of a prompt's texts, without field names and labels. */
function countCharacters(value: unknown): number {
  if (typeof value === 'string') return value.length;
  if (Array.isArray(value)) return value.reduce<number>((sum, v) => sum + countCharacters(v), 0);
  if (typeof value !== 'object' || value === null) return 0;
  return Object.entries(value)
    .filter(([name]) => !LABELS.has(name))
    .reduce<number>((sum, [, field]) => sum + countCharacters(field), 0);
}

/** Digests a prompt: its length in tokens (an estimate), its prefixes and its whole. */
export function digestPrompt(prompt: unknown, rest: unknown): PromptDigest {
  const text = JSON.stringify(prompt);
  const prefixes: string[] = [];
  const hash = createHash('sha256');
  for (let at = 0; at + BLOCK_CHARACTERS <= text.length; at += BLOCK_CHARACTERS) {
    if (prefixes.length === MOST_BLOCKS) break;
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
