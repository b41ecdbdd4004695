import { drawAttemptId, formatCallHeaders, HOST, sendAttempt, type Gateway } from '#standins';

import type { SeenRequest } from '../evidence.js';
import { ACCOUNT, kindsByRoute, TIMEOUT_MS, type RouteName } from '../traffic.js';
import type { StressAction } from './draw.js';

type BodiesAction = Extract<StressAction, { kind: 'floods' | 'halves' | 'readers' }>;

/** Routes of bodies in turns; what must run once shows whether a refusal was true. */
const routes: readonly RouteName[] = ['once', 'repeatable'];

/** Time in which a caller that reads nothing takes the next bytes. */
const NEVER_BYTES_PER_SECOND = 1;

/** How a body is sent and its answer is read. */
interface Manner {
  readonly leaveAfterMs?: number;
  readonly bytesPerSecond?: number;
  readonly pause?: { readonly afterBytes: number; readonly forMs: number };
}

function createManner(action: BodiesAction): Manner {
  const { forMs, bytes } = action;
  switch (action.kind) {
    case 'halves': {
      const pause = { afterBytes: Math.round(action.share * bytes), forMs };
      return action.isLeaving ? { pause, leaveAfterMs: forMs } : { pause };
    }
    case 'readers':
      return action.isReading
        ? { bytesPerSecond: (bytes * 1000) / forMs }
        : { bytesPerSecond: NEVER_BYTES_PER_SECOND, leaveAfterMs: forMs };
    default:
      return {};
  }
}

/** Formats the headers of one request of a stress. */
export function formatStressHeaders(id: string): Record<string, string> {
  return formatCallHeaders({
    id,
    timeoutMs: TIMEOUT_MS,
    promptTokens: 600,
    outputTokens: 120,
    segments: { a1: 400, [id.slice(0, 8)]: 200 },
    key: ACCOUNT.key,
  });
}

async function sendBody(
  { name: vm, listen }: Gateway,
  { route, body, manner }: { route: RouteName; body: Buffer; manner: Manner },
): Promise<SeenRequest> {
  const id = drawAttemptId();
  const { text, ...outcome } = await sendAttempt(listen.front, {
    method: 'POST',
    host: HOST,
    path: `/${route}/${id}`,
    headers: formatStressHeaders(id),
    body,
    ...manner,
  });
  const isWhole = outcome.answer === 'whole' && outcome.status === 200;
  const isRight = route !== 'echo' || !isWhole || text === body.toString('latin1');
  const call = { kind: kindsByRoute[route], vm, timeoutMs: TIMEOUT_MS, dueEvents: 0, key: null };
  return { ...outcome, ...call, isRight, events: [], versions: [] };
}

/** Sends many large bodies to a VM at once; resolves with what their callers have seen. */
export function sendBodies(gateway: Gateway, action: BodiesAction): Promise<SeenRequest[]> {
  const body = Buffer.alloc(action.bytes, 'filbertlatch ');
  const manner = createManner(action);
  return Promise.all(
    Array.from({ length: action.count }, (_, index) => {
      const route = action.kind === 'readers' ? 'echo' : (routes[index % 2] as RouteName);
      return sendBody(gateway, { route, body, manner });
    }),
  );
}
