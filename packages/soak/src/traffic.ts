import { createRoute, ENGINES, formatTarget } from '#standins';

import type { RequestKind } from './evidence.js';

/** Events of each stream, and the time between two. */
export const STREAM_EVENTS = 30;
export const EVENT_GAP_MS = 60;

/** `timeout_ms` of the routes, and the shorter one that a configuration may set. */
export const TIMEOUT_MS = 10_000;
export const SHORT_TIMEOUT_MS = 9500;

const PLAIN_WORK_MS = 100;

const streamRoute = {
  kind: 'streaming',
  fields: {
    ...formatTarget(3000),
    gap_target_ms: 2 * EVENT_GAP_MS,
    attempts: 3,
    resumable: true,
  },
};

const routes = {
  once: { kind: 'non_idempotent', fields: { ...formatTarget(3000) } },
  repeatable: { kind: 'idempotent', fields: { ...formatTarget(3000), attempts: 3 } },
  stream: streamRoute,
  unframed: streamRoute,
  echo: { kind: 'idempotent', fields: { ...formatTarget(3000), attempts: 3 } },
  keyed: { kind: 'non_idempotent', fields: { ...formatTarget(3000), public: false } },
};

/** Name of a route; `unframed` has streams without a length or chunks, `echo` answers with the body. */
export type RouteName = keyof typeof routes;

/** The kind of request that each route takes. */
export const kindsByRoute: Readonly<Record<RouteName, RequestKind>> = {
  once: 'once',
  repeatable: 'repeatable',
  stream: 'stream',
  unframed: 'stream',
  echo: 'repeatable',
  keyed: 'once',
};

/** Client account of the callers on the route `keyed`. */
export const ACCOUNT = { name: 'soak', key: 'soak-key' };

/** Creates the routes with a time-out; `extra` more are there that nobody uses. */
export function createRoutes(timeoutMs: number, extra: number): object[] {
  const used = Object.entries(routes).map(([name, { kind, fields }]) =>
    createRoute(name, kind, ENGINES, { ...fields, timeout_ms: timeoutMs }),
  );
  const unused = Array.from({ length: extra }, (_, index) =>
    createRoute(`extra-${index}`, 'idempotent', ENGINES, {
      timeout_ms: timeoutMs,
      ...formatTarget(3000),
    }),
  );
  return [...used, ...unused];
}

/** How endpoints answer on each route. */
export const answers = [
  { prefix: '/once/', kind: 'whole', workMs: PLAIN_WORK_MS },
  { prefix: '/keyed/', kind: 'whole', workMs: PLAIN_WORK_MS },
  { prefix: '/echo/', kind: 'whole', workMs: PLAIN_WORK_MS, isEcho: true },
  { prefix: '/repeatable/', kind: 'whole', workMs: PLAIN_WORK_MS },
  { prefix: '/stream/', kind: 'stream', events: STREAM_EVENTS, gapMs: EVENT_GAP_MS },
  {
    prefix: '/unframed/',
    kind: 'stream',
    events: STREAM_EVENTS,
    gapMs: EVENT_GAP_MS,
    isUnframed: true,
  },
];
