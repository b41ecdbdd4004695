import { z } from 'zod';

const promptSchema = z.union([z.string(), z.array(z.string())]);

const common = {
  model: z.string().min(1),
  stream: z.boolean().nullish(),
  max_tokens: z.number().int().positive().nullish(),
  max_completion_tokens: z.number().int().positive().nullish(),
  n: z.literal(1, 'only one choice per request').nullish(),
};

/** Shape of a chat completion call; fields that the router does not read pass through. */
export const chatSchema = z.looseObject({
  ...common,
  messages: z.array(z.looseObject({ role: z.string().min(1) })).min(1),
});

/** Shape of a completion call; fields that the router does not read pass through. */
export const completionSchema = z.looseObject({ ...common, prompt: promptSchema });

/** A checked call for generated text. */
export type GenerateBody = z.infer<typeof chatSchema> | z.infer<typeof completionSchema>;
