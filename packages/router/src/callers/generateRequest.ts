import * as z from 'zod';

const promptSchema = z.union([z.string(), z.array(z.string())]);

const MOST_NESTING = 64;

// Each level holds the next: a body that is nested without end must not exhaust the stack.
function isNestedAtMost(root: unknown, most: number): boolean {
  let level: unknown[] = [root];
  for (let depth = 0; depth <= most; depth += 1) {
    level = level.filter((value) => typeof value === 'object' && value !== null);
    if (level.length === 0) return true;
    level = level.flatMap((value) => Object.values(value as object));
  }
  return false;
}

function isPlain(body: unknown): boolean {
  return isNestedAtMost(body, MOST_NESTING);
}

const nesting = `expected a body nested at most ${MOST_NESTING} levels deep`;

const common = {
  model: z.string().min(1).max(128),
  stream: z.boolean().nullish(),
  max_tokens: z.number().int().positive().nullish(),
  max_completion_tokens: z.number().int().positive().nullish(),
  n: z.literal(1, 'only one choice per request').nullish(),
};

/** Shape of a chat completion call; fields that the router does not read pass through. */
export const chatSchema = z
  .looseObject({
    ...common,
    messages: z.array(z.looseObject({ role: z.string().min(1) })).min(1),
  })
  .refine(isPlain, nesting);

/** Shape of a completion call; fields that the router does not read pass through. */
export const completionSchema = z
  .looseObject({ ...common, prompt: promptSchema })
  .refine(isPlain, nesting);

/** A checked call for generated text. */
export type GenerateBody = z.infer<typeof chatSchema> | z.infer<typeof completionSchema>;
