import { createRoute, DESK, ENGINES, formatTarget } from '#standins';

import type { RequestKind } from './evidence.js';

/** Events of each stream, and the time between two. */
export const STREAM_EVENTS = 30;
export const EVENT_GAP_MS = 60;

/** `timeout_ms` of the routes, and the shorter one that a configuration may set. */
export const TIMEOUT_MS = 10_000;
export const SHORT_TIMEOUT_MS = 9500;

/** `idle_timeout_ms` of the first configuration. */
export const IDLE_TIMEOUT_MS = 15_000;

/** Fraction of its usual time-out that each route has at least. */
export const MIN_TIMEOUT_FRACTION = SHORT_TIMEOUT_MS / TIMEOUT_MS;

/** Deadline of short requests, and `timeout_ms` of long streams, which outlast the grace period. */
const SHORT_MS = 600;
const LONG_TIMEOUT_MS = 12_000;

const PLAIN_WORK_MS = 100;
const SHORT_WORK_MS = 15;
const LONG_EVENTS = 150;
const SUMMARY_EVENTS = 9;
const QUICK_WORK_MS = 5;

const streamRoute = {
  kind: 'streaming',
  fields: {
    ...formatTarget(3000),
    gap_target_ms: 2 * EVENT_GAP_MS,
    attempts: 3,
    resumable: true,
  },
};

const longFields = {
  ...streamRoute.fields,
  ...formatTarget(250),
  gap_target_ms: 200,
  attempts: 2,
  timeout_ms: LONG_TIMEOUT_MS,
};

const shortFields = { ...formatTarget(100), priority: 2, timeout_ms: SHORT_MS };

const routes = {
  once: { kind: 'non_idempotent', fields: { ...formatTarget(3000) } },
  repeatable: { kind: 'idempotent', fields: { ...formatTarget(3000), attempts: 3 } },
  stream: streamRoute,
  unframed: streamRoute,
  echo: { kind: 'idempotent', fields: { ...formatTarget(3000), attempts: 3 } },
  quick: { kind: 'idempotent', fields: { ...formatTarget(3000), attempts: 3 } },
  keyed: { kind: 'non_idempotent', fields: { ...formatTarget(3000), public: false } },
  long: { kind: 'streaming', fields: longFields },
  summary: {
    kind: 'streaming',
    fields: { ...formatTarget(400), gap_target_ms: 300, priority: 1, timeout_ms: 4000 },
  },
  hold: { kind: 'non_idempotent', fields: shortFields, service: DESK },
  check: { kind: 'idempotent', fields: { ...shortFields, attempts: 2 }, service: DESK },
};

/** Name of a route; `unframed` has streams without a length or chunks, `echo` answers with the body, `quick` at once. */
export type RouteName = keyof typeof routes;

/** Returns the `timeout_ms` of a route, which is also its callers' deadline. */
export function timeoutOf(route: RouteName): number {
  const { fields } = routes[route];
  return 'timeout_ms' in fields ? fields.timeout_ms : TIMEOUT_MS;
}

/** Returns how many events each answer of a route has; 0 for one that is no stream. */
export function eventsOf(route: RouteName): number {
  if (routes[route].kind !== 'streaming') return 0;
  if (route === 'summary') return SUMMARY_EVENTS;
  return route === 'long' ? LONG_EVENTS : STREAM_EVENTS;
}

/** The kind of request that each route takes. */
export const kindsByRoute: Readonly<Record<RouteName, RequestKind>> = {
  once: 'once',
  repeatable: 'repeatable',
  stream: 'stream',
  unframed: 'stream',
  echo: 'repeatable',
  quick: 'repeatable',
  keyed: 'once',
  long: 'stream',
  summary: 'once',
  hold: 'once',
  check: 'repeatable',
};

/** Client account of the callers on the route `keyed`. */
export const ACCOUNT = { name: 'soak', key: 'soak-key' };

/** Creates the routes with a time-out; `extra` more are there that nobody uses. */
export function createRoutes(timeoutMs: number, extra: number): object[] {
  const used = Object.entries(routes).map(([name, route]) =>
    createRoute(name, route.kind, 'service' in route ? route.service : ENGINES, {
      ...route.fields,
      timeout_ms: (timeoutOf(name as RouteName) * timeoutMs) / TIMEOUT_MS,
    }),
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
  { prefix: '/quick/', kind: 'whole', workMs: QUICK_WORK_MS },
  { prefix: '/repeatable/', kind: 'whole', workMs: PLAIN_WORK_MS },
  { prefix: '/hold/', kind: 'whole', workMs: SHORT_WORK_MS },
  { prefix: '/check/', kind: 'whole', workMs: SHORT_WORK_MS },
  { prefix: '/long/', kind: 'stream', events: LONG_EVENTS, gapMs: EVENT_GAP_MS },
  { prefix: '/summary/', kind: 'stream', events: SUMMARY_EVENTS, gapMs: EVENT_GAP_MS },
  { prefix: '/stream/', kind: 'stream', events: STREAM_EVENTS, gapMs: EVENT_GAP_MS },
  {
    prefix: '/unframed/',
    kind: 'stream',
    events: STREAM_EVENTS,
    gapMs: EVENT_GAP_MS,
    isUnframed: true,
  },
];
