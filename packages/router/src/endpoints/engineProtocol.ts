import * as z from 'zod';

/** Header with the attempt's id, which the endpoint echoes. */
export const REQUEST_ID_HEADER = 'x-request-id';

/** Header with the rank of the request's tier; 0 is served first. */
export const PRIORITY_HEADER = 'x-priority';

/** Header with the time left to answer, in milliseconds. */
export const TIMEOUT_HEADER = 'x-timeout-ms';

const deltaSchema = z.looseObject({
  role: z.string().optional(),
  content: z.string().nullish(),
});

/** Shape of one event of an engine's stream. */
export const chunkSchema = z.looseObject({
  id: z.string(),
  choices: z.array(
    z.looseObject({
      index: z.number().int().nonnegative(),
      delta: deltaSchema.optional(),
      text: z.string().optional(),
      finish_reason: z.string().nullish(),
    }),
  ),
  usage: z.looseObject({ completion_tokens: z.number().optional() }).nullish(),
});

/** One event of an engine's stream. */
export type Chunk = z.infer<typeof chunkSchema>;

/** Data of the last event of a complete stream. */
export const END_OF_STREAM = '[DONE]';

/** Shape of an engine's load report. */
export const loadReportSchema = z.object({
  measuredAt: z.number(),
  running: z.number().nonnegative(),
  waiting: z.number().nonnegative(),
  waitingTokens: z.number().nonnegative(),
  tokensPerSecond: z.number().nonnegative(),
  models: z.array(z.string()),
});
