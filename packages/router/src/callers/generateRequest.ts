import * as z from 'zod';

const promptSchema = z.union([z.string(), z.array(z.string())]);

const MAX_NESTING_DEPTH = 64;

// Goes level by level without recursion, so that a deeply nested body can't exhaust the stack.
function hasDepthAtMost(root: unknown, maxDepth: number): boolean {
  let level: unknown[] = [root];
  for (let depth = 0; depth <= maxDepth; depth += 1) {
    level = level.filter((value) => typeof value === 'object' && value !== null);
    if (level.length === 0) return true;
    level = level.flatMap((value) => Object.values(value as object));
  }
  return false;
}

function hasAllowedNesting(body: unknown): boolean {
  return hasDepthAtMost(body, MAX_NESTING_DEPTH);
}

const nestingMessage = `expected a body nested at most ${MAX_NESTING_DEPTH} levels deep`;

const commonFields = {
  model: z.string().min(1).max(128),
  stream: z.boolean().nullish(),
  max_tokens: z.number().int().positive().nullish(),
  max_completion_tokens: z.number().int().positive().nullish(),
  n: z.literal(1, 'only one choice per request').nullish(),
};

/** Shape of a chat completion call; fields that the router does not read are passed on. */
export const chatSchema = z
  .looseObject({
    ...commonFields,
    messages: z.array(z.looseObject({ role: z.string().min(1) })).min(1),
  })
  .refine(hasAllowedNesting, nestingMessage);

/** Shape of a completion call; fields that the router does not read are passed on. */
export const completionSchema = z
  .looseObject({ ...commonFields, prompt: promptSchema })
  .refine(hasAllowedNesting, nestingMessage);

/** The validated body of a chat completion or completion call. */
export type GenerateBody = z.infer<typeof chatSchema> | z.infer<typeof completionSchema>;
