import { randomInteger, type Random } from '@filbertlatch/core';

import { drawBetween, pickOne } from '../drawing.js';

/** Kinds of trouble that the surroundings of a VM make: what it needs is in use, gone or scarce. */
export const surroundingKinds = ['held', 'reader', 'descriptors'] as const;

/** Kinds of trouble that callers make by what they send, or do not read. */
export const pressureKinds = ['floods', 'halves', 'pipeline', 'readers'] as const;

/** Kinds of trouble that what a VM calls makes. */
export const answerKinds = ['endless'] as const;

/** Parts of an answer that have no end. */
export const endlessParts = [
  'earlyHeads',
  'headerLines',
  'headerLine',
  'length',
  'close',
  'chunks',
  'extensions',
  'trailers',
  'json',
  'junk',
] as const;

/** A part of an answer that has no end. */
export type EndlessPart = (typeof endlessParts)[number];

/** Kinds of trouble that bring a VM to its limits. */
export const stressKinds = [...surroundingKinds, ...pressureKinds, ...answerKinds] as const;

/** A kind of trouble that brings a VM to its limits. */
export type StressKind = (typeof stressKinds)[number];

/** A port of a VM, which something else listens on: for callers, health, peers, or peers' datagrams. */
export const heldPorts = ['front', 'ready', 'control', 'datagrams'] as const;

/** A port of a VM that something else may hold. */
export type HeldPort = (typeof heldPorts)[number];

/** Bodies of as many callers. */
interface Bodies {
  readonly vm: number;
  readonly count: number;
  readonly bytes: number;
  readonly forMs: number;
}

/** What one kind of stress does to a VM at one moment. */
export type StressAction =
  /** The VM is stopped, and its port taken until some time after its start; `isStopped` stops it then. */
  | {
      readonly kind: 'held';
      readonly vm: number;
      readonly port: HeldPort;
      readonly forMs: number;
      readonly isStopped: boolean;
    }
  /** The VM is started anew with few descriptors, and again with enough after a time. */
  | {
      readonly kind: 'descriptors';
      readonly vm: number;
      readonly count: number;
      readonly forMs: number;
    }
  /** The reader of the log stops for a time, or is gone for good. */
  | { readonly kind: 'reader'; readonly vm: number; readonly forMs: number | null }
  /** Many bodies at once. */
  | (Bodies & { readonly kind: 'floods' })
  /** A share of each body, then nothing for a time; the caller leaves or sends the rest. */
  | (Bodies & { readonly kind: 'halves'; readonly share: number; readonly isLeaving: boolean })
  /** Large answers, which are read in that time, or not at all by callers who leave after it. */
  | (Bodies & { readonly kind: 'readers'; readonly isReading: boolean })
  /** The store, or a share of the endpoints from the one that `pick` selects, answers without end. */
  | {
      readonly kind: 'endless';
      readonly source: 'store' | 'endpoints';
      readonly part: EndlessPart;
      readonly share: number;
      readonly pick: number;
      readonly hasChecks: boolean;
      readonly forMs: number;
    }
  /** Connections that send all requests at once, or as many as are taken while they read nothing. */
  | {
      readonly kind: 'pipeline';
      readonly vm: number;
      readonly count: number;
      readonly requests: number;
      readonly forMs: number;
      readonly isReading: boolean;
    };

/** What stands beside a stress. */
type CompanionAction =
  | { readonly kind: 'configure'; readonly change: 'idle' | 'timeout' | 'route' }
  | { readonly kind: 'signal'; readonly vm: number; readonly signal: 'SIGTERM' | 'SIGHUP' };

type Timed<T> = T & { readonly atMs: number };

const MIN_SERIES_GAP_MS = 300;
const MAX_SERIES_GAP_MS = 1200;
const MAX_SERIES = 3;

/** Most requests of a connection that reads no answers; it stops when no more are taken. */
const MAX_UNREAD = 25_000;

/** Time in which a connection that reads has its answers, less than the requests' own. */
const READING_MS = 8000;

/** From enough for a start to enough for some callers. */
const MIN_DESCRIPTORS = 40;
const MAX_DESCRIPTORS = 80;

/** Time after which a VM's process is started again. */
export const RESTART_MS = 500;

/** Time from the start of a held VM until it is stopped; its handlers of signals are there by then. */
export const HELD_STOP_MS = 700;

function drawBytes(random: Random): number {
  return drawBetween(random, 1e6, 4e6);
}

function drawPipeline(random: Random, vm: number): StressAction {
  const isReading = random.next() < 0.5;
  return {
    kind: 'pipeline',
    vm,
    count: drawBetween(random, 1, 4),
    requests: isReading ? drawBetween(random, 50, 300) : MAX_UNREAD,
    forMs: isReading ? READING_MS : drawBetween(random, 1000, 3000),
    isReading,
  };
}

function drawOne(random: Random, kind: StressKind, vm: number): StressAction {
  switch (kind) {
    case 'held': {
      const forMs = drawBetween(random, 300, 2000);
      const isStopped = forMs > HELD_STOP_MS && random.next() < 0.3;
      return { kind, vm, port: pickOne(random, heldPorts), forMs, isStopped };
    }
    case 'floods':
      return { kind, vm, count: drawBetween(random, 8, 24), bytes: drawBytes(random), forMs: 0 };
    case 'halves':
      return {
        kind,
        vm,
        count: drawBetween(random, 10, 40),
        bytes: drawBytes(random),
        forMs: drawBetween(random, 1000, 5000),
        share: pickOne(random, [0.5, 0.75]),
        isLeaving: random.next() < 0.5,
      };
    case 'readers':
      return {
        kind,
        vm,
        count: drawBetween(random, 5, 20),
        bytes: drawBytes(random),
        forMs: drawBetween(random, 1000, 5000),
        isReading: random.next() < 0.5,
      };
    case 'descriptors': {
      const count = drawBetween(random, MIN_DESCRIPTORS, MAX_DESCRIPTORS);
      return { kind, vm, count, forMs: drawBetween(random, 2000, 5000) };
    }
    case 'endless':
      return {
        kind,
        source: random.next() < 0.5 ? 'store' : 'endpoints',
        part: pickOne(random, endlessParts),
        share: random.next() < 0.5 ? 0 : 0.5,
        pick: random.next(),
        hasChecks: random.next() < 0.5,
        forMs: drawBetween(random, 1000, 3000),
      };
    case 'pipeline':
      return drawPipeline(random, vm);
    default:
      return { kind, vm, forMs: random.next() < 0.5 ? null : drawBetween(random, 1000, 5000) };
  }
}

/** Whether a kind stops its VM and has it started again. */
function isRestarting(kind: StressKind): boolean {
  return kind === 'held' || kind === 'descriptors';
}

/** A kind that stops its VM by itself has no other signal beside it: that would meet node's own start. */
function drawCompanion(random: Random, kind: StressKind, vm: number): CompanionAction | null {
  const draw = random.next();
  if (draw < 0.25) {
    return { kind: 'configure', change: pickOne(random, ['idle', 'timeout', 'route'] as const) };
  }
  if (draw > 0.6 || isRestarting(kind)) return null;
  return { kind: 'signal', vm, signal: draw < 0.45 ? 'SIGTERM' : 'SIGHUP' };
}

/** Draws a stress, most kinds several times in series, and what stands beside it. */
export function drawStress(
  random: Random,
  { kind, atMs, vm }: { kind: StressKind; atMs: number; vm: number },
): Timed<StressAction | CompanionAction>[] {
  const count = isRestarting(kind) ? 1 : 1 + randomInteger(random, MAX_SERIES);
  let nextMs = atMs;
  const series = Array.from({ length: count }, () => {
    const action = { ...drawOne(random, kind, vm), atMs: nextMs };
    nextMs += drawBetween(random, MIN_SERIES_GAP_MS, MAX_SERIES_GAP_MS);
    return action;
  });
  const companion = drawCompanion(random, kind, vm);
  const companionMs = atMs + drawBetween(random, 0, nextMs - atMs);
  return companion === null ? series : [...series, { ...companion, atMs: companionMs }];
}
