import * as z from 'zod';

/** Most prefix digests in one list of an event. */
const MAX_DIGESTS_PER_LIST = 4096;

/** Schema of an engine's answer with its cache events: prefix digests stored and evicted. */
export const cacheEventsSchema = z.object({
  events: z.array(
    z.object({
      sequence: z.number().int().nonnegative(),
      stored: z.array(z.string()).max(MAX_DIGESTS_PER_LIST),
      evicted: z.array(z.string()).max(MAX_DIGESTS_PER_LIST),
    }),
  ),
});
