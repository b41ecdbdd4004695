import * as z from 'zod';

const MOST_DIGESTS = 4096;

/** Shape of an engine's answer to a reader of its cache events. */
export const cacheEventsSchema = z.object({
  events: z.array(
    z.object({
      sequence: z.number().int().nonnegative(),
      stored: z.array(z.string()).max(MOST_DIGESTS),
      evicted: z.array(z.string()).max(MOST_DIGESTS),
    }),
  ),
});
