import { createRandom, randomInteger, type Random } from '@filbertlatch/core';

import { drawBetween, pickOne } from './drawing.js';
import { harmWays, type Harm, type HarmWay } from './links/harm.js';
import type { Direction } from './links/links.js';
import {
  drawStress,
  RESTART_MS,
  stressKinds,
  type StressAction,
  type StressKind,
} from './stress/draw.js';

/** Kinds of trouble by signals to a VM: one stop, two, SIGHUP beside one, and one during the start. */
export const signalKinds = ['stop', 'twice', 'hangup', 'start'] as const;

/** Kinds of trouble that nobody asked a VM for: it stands still, or is gone and started again. */
export const outageKinds = ['freeze', 'crash'] as const;

/**
 * Kinds of trouble; `unframed` is a property of the endpoints' answers, `callers` and `mixed` of the
 * requests, the others are scheduled.
 */
export const troubleKinds = [
  'silence',
  'kill',
  'unframed',
  'callers',
  'mixed',
  'store',
  'older',
  'release',
  ...outageKinds,
  'links',
  'revoke',
  'hangups',
  ...stressKinds,
  ...signalKinds,
] as const;

/** A kind of trouble. */
export type TroubleKind = (typeof troubleKinds)[number];

/** How a configuration differs from the one before it. */
export type ConfigurationChange = 'idle' | 'timeout' | 'route';

/** A signal that a VM's process is sent. */
export type VmSignal = 'SIGTERM' | 'SIGHUP' | 'SIGINT' | 'SIGKILL' | 'SIGSTOP' | 'SIGCONT';

/** How the store fails: connections refused, no answers, or late ones; `older` comes back from a copy. */
export type StoreFailure = 'away' | 'silent' | 'slow' | 'older';

/** Which links of a VM are harmed: all, or those to one endpoint, peer or caller, or to the store. */
export type LinkKind = 'all' | 'endpoint' | 'peer' | 'store' | 'caller';

/**
 * What the soak does at one moment; `pick` and `spared`, in [0, 1), select an endpoint, or what else a
 * link leads to. Without a VM a signal goes to all.
 */
export type Action =
  | { readonly kind: 'configure'; readonly change: ConfigurationChange }
  /** Stops a share of the endpoints' processes, or all but the one that `spared` selects. */
  | {
      readonly kind: 'silence';
      readonly share: number;
      readonly forMs: number;
      readonly spared: number | null;
    }
  | { readonly kind: 'signal'; readonly vm: number | null; readonly signal: VmSignal }
  | {
      readonly kind: 'harm';
      readonly vm: number;
      readonly links: LinkKind;
      readonly pick: number;
      readonly direction: Direction;
      readonly harm: Harm;
      readonly forMs: number;
    }
  | { readonly kind: 'kill'; readonly pick: number }
  | StressAction
  /** An endpoint of the next version joins, and one of the oldest leaves. */
  | { readonly kind: 'release' }
  /** The oldest key of the callers' account goes, and a new one comes. */
  | { readonly kind: 'revoke' }
  | { readonly kind: 'store'; readonly failure: StoreFailure; readonly forMs: number };

/** An action and its time since traffic began. */
export type ScheduledAction = Action & { readonly atMs: number };

/** Formats what an action does. */
export function formatAction({ atMs, kind, ...fields }: ScheduledAction): string {
  return `${kind} ${JSON.stringify(fields)}`;
}

const FIRST_TROUBLE_MS = 2500;
const MIN_INTERVAL_MS = 2500;
const INTERVAL_RANGE_MS = 1500;

/** Time without new trouble at the end, in which requests settle. */
const CALM_END_MS = 3000;

const MAX_START_AGE_MS = 400;

type VmKind = (typeof outageKinds)[number] | 'hangups' | (typeof signalKinds)[number];

const changes: readonly ConfigurationChange[] = ['idle', 'timeout', 'route'];

function isStress(kind: TroubleKind): kind is StressKind {
  return stressKinds.some((known) => known === kind);
}

function drawSilence(random: Random, atMs: number): ScheduledAction[] {
  const delayMs = drawBetween(random, 400, 600);
  return [
    { kind: 'configure', atMs, change: pickOne(random, changes) },
    {
      kind: 'silence',
      atMs: atMs + delayMs,
      share: random.next() < 0.6 ? 1 : 0.6,
      forMs: drawBetween(random, 1000, 1400),
      spared: null,
    },
  ];
}

function drawKill(random: Random, atMs: number): ScheduledAction[] {
  const pick = random.next();
  if (random.next() < 0.3) return [{ kind: 'kill', atMs, pick }];
  const forMs = drawBetween(random, 1000, 1400);
  const killMs = drawBetween(random, 100, 500);
  return [
    { kind: 'silence', atMs, share: 1, forMs, spared: pick },
    { kind: 'kill', atMs: atMs + killMs, pick },
  ];
}

function drawStoreFailure(random: Random, atMs: number): ScheduledAction[] {
  const failure = pickOne(random, ['away', 'silent', 'slow'] as const);
  return [{ kind: 'store', atMs, failure, forMs: drawBetween(random, 2000, 6000) }];
}

/** The store goes right after a change that the copy does not have. */
function drawOlderStore(random: Random, atMs: number): ScheduledAction[] {
  const delayMs = drawBetween(random, 300, 1500);
  const forMs = drawBetween(random, 500, 3000);
  return [
    { kind: 'revoke', atMs },
    { kind: 'store', atMs: atMs + delayMs, failure: 'older', forMs },
  ];
}

function drawHarm(random: Random, ways: readonly HarmWay[]): Harm {
  const way = pickOne(random, ways);
  switch (way) {
    case 'delay':
      return { way, delayMs: drawBetween(random, 30, 400) };
    case 'limit':
      return { way, bytesPerSecond: drawBetween(random, 2000, 100_000) };
    case 'split':
      return { way, pieceBytes: drawBetween(random, 1, 40) };
    default:
      return { way };
  }
}

function drawLinkHarm(
  random: Random,
  atMs: number,
  { vms, ways }: { vms: number; ways: readonly HarmWay[] },
): ScheduledAction[] {
  const harm = drawHarm(random, ways);
  const areAll = random.next() < 0.4;
  const one = pickOne(random, ['endpoint', 'peer', 'store', 'caller'] as const);
  return [
    {
      kind: 'harm',
      atMs,
      vm: randomInteger(random, vms),
      links: areAll ? 'all' : one,
      pick: random.next(),
      direction: harm.way === 'cut' ? pickOne(random, ['both', 'out', 'in'] as const) : 'both',
      harm,
      forMs: harm.way === 'reset' ? 0 : drawBetween(random, 500, 2000),
    },
  ];
}

function drawSignals(
  random: Random,
  atMs: number,
  { kind, vm }: { kind: VmKind; vm: number },
): ScheduledAction[] {
  const send = (signal: VmSignal, afterMs = 0): ScheduledAction => ({
    kind: 'signal',
    atMs: atMs + afterMs,
    vm,
    signal,
  });
  switch (kind) {
    case 'stop':
      return [send(random.next() < 0.7 ? 'SIGTERM' : 'SIGINT')];
    case 'twice':
      return [send('SIGTERM'), send('SIGTERM', drawBetween(random, 300, 1500))];
    case 'hangup':
      return [send('SIGHUP', drawBetween(random, 0, 300)), send('SIGTERM', 150)];
    case 'hangups': {
      const toAll = { kind: 'signal', vm: null, signal: 'SIGHUP' } as const;
      return [send('SIGTERM'), { ...toAll, atMs: atMs + drawBetween(random, 200, 500) }];
    }
    case 'freeze':
      return [send('SIGSTOP'), send('SIGCONT', drawBetween(random, 500, 2000))];
    case 'crash':
      return [send('SIGKILL')];
    default: {
      const ageMs = drawBetween(random, 0, MAX_START_AGE_MS);
      const signal = pickOne(random, ['SIGTERM', 'SIGHUP', 'SIGINT'] as const);
      return [send('SIGKILL'), send(signal, RESTART_MS + ageMs)];
    }
  }
}

interface ScheduleOptions {
  readonly trouble: readonly TroubleKind[];
  readonly vms: number;
  readonly seconds: number;
  readonly harms?: readonly HarmWay[];
}

/** Draws when trouble comes: the same seed, kinds and size give the same times. */
export function drawSchedule(
  seed: number,
  { trouble, vms, seconds, harms = harmWays }: ScheduleOptions,
): readonly ScheduledAction[] {
  const random = createRandom(seed);
  // One kind after the other, so that each of them is played.
  const kinds = trouble.filter(
    (kind) => kind !== 'unframed' && kind !== 'callers' && kind !== 'mixed',
  );
  const endMs = seconds * 1000 - CALM_END_MS;
  const actions: ScheduledAction[] = [];
  const offset = randomInteger(random, kinds.length);
  let vm = randomInteger(random, vms);
  let atMs = FIRST_TROUBLE_MS + drawBetween(random, 0, 500);
  for (let index = 0; atMs < endMs; index += 1) {
    const kind = kinds[(offset + index) % kinds.length];
    if (kind === undefined) break;
    if (kind === 'silence') actions.push(...drawSilence(random, atMs));
    else if (kind === 'older') actions.push(...drawOlderStore(random, atMs));
    else if (kind === 'release' || kind === 'revoke') actions.push({ kind, atMs });
    else if (kind === 'store') actions.push(...drawStoreFailure(random, atMs));
    else if (kind === 'links') actions.push(...drawLinkHarm(random, atMs, { vms, ways: harms }));
    else if (kind === 'kill') actions.push(...drawKill(random, atMs));
    else {
      // In turns: a second signal would meet a VM that still drains.
      vm = (vm + 1) % vms;
      if (isStress(kind)) actions.push(...drawStress(random, { kind, atMs, vm }));
      else actions.push(...drawSignals(random, atMs, { kind, vm }));
    }
    atMs += MIN_INTERVAL_MS + drawBetween(random, 0, INTERVAL_RANGE_MS);
  }
  return actions.sort((a, b) => a.atMs - b.atMs);
}
