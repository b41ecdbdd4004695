import { addToRate, createDecayingRate, decayedSum, type DecayingRate } from '../shared/index.js';
import type { GenerationSize } from './job.js';

/** The largest tenth of a route's requests, the fifth below it, and the others. */
export type SizeGroup = 'largest' | 'large' | 'other';

/** Requests of one group: offered for placement, and sent. */
interface GroupCounts {
  readonly offered: DecayingRate;
  readonly sent: DecayingRate;
}

/** How large a route's requests are, and how many of each group are sent. */
export interface SizeGroups {
  /** Estimated least size of the largest tenth. */
  largestFrom: number;
  /** Estimated least size of the largest three tenths. */
  largeFrom: number;
  /** Moving average of the sizes. */
  meanSize: number;
  readonly counts: Readonly<Record<SizeGroup, GroupCounts>>;
}

/** Prompt tokens that take as long as one output token. */
const OUTPUT_TOKEN_WEIGHT = 10;

const LARGEST_FRACTION = 0.1;
const LARGE_FRACTION = 0.3;

/** Weight of the newest request in the estimates of sizes. */
const SIZE_WEIGHT = 0.05;

/** Time over which the sent shares of groups are compared. */
const SHARE_TIME_CONSTANT_MS = 8000;

/** Least share of a group of large requests that is sent, as a fraction of the share of all. */
const MIN_SENT_FRACTION = 0.7;

/** Groups with fewer requests lately are not compared. */
const MIN_OFFERED = 2;

function sizeOf({ promptTokens, outputTokens }: GenerationSize): number {
  return promptTokens + OUTPUT_TOKEN_WEIGHT * outputTokens;
}

function createCounts(): GroupCounts {
  return {
    offered: createDecayingRate(SHARE_TIME_CONSTANT_MS),
    sent: createDecayingRate(SHARE_TIME_CONSTANT_MS),
  };
}

/** Creates the groups of a route whose first request has this size. */
export function createSizeGroups(size: GenerationSize): SizeGroups {
  const first = sizeOf(size);
  return {
    largestFrom: first,
    largeFrom: first,
    meanSize: first,
    counts: { largest: createCounts(), large: createCounts(), other: createCounts() },
  };
}

/** Moves the estimates towards the sizes that the fractions of requests exceed. */
export function recordSize(groups: SizeGroups, generation: GenerationSize): void {
  const size = sizeOf(generation);
  const step = SIZE_WEIGHT * groups.meanSize;
  const move = (from: number, fraction: number) =>
    from + step * (size > from ? 1 - fraction : -fraction);
  groups.largestFrom = move(groups.largestFrom, LARGEST_FRACTION);
  groups.largeFrom = move(groups.largeFrom, LARGE_FRACTION);
  groups.meanSize += SIZE_WEIGHT * (size - groups.meanSize);
}

function groupOf({ largestFrom, largeFrom }: SizeGroups, generation: GenerationSize): SizeGroup {
  const size = sizeOf(generation);
  if (size > largestFrom) return 'largest';
  return size > largeFrom ? 'large' : 'other';
}

/** Records that a request was sent, or refused for its predicted time. */
export function recordPlacement(
  groups: SizeGroups,
  size: GenerationSize,
  isSent: boolean,
  now: number,
): void {
  const { offered, sent } = groups.counts[groupOf(groups, size)];
  addToRate(offered, 1, now);
  if (isSent) addToRate(sent, 1, now);
}

/** Says whether requests as large as this one are sent so much less often than all of the route. */
export function isBelowFloor(groups: SizeGroups, size: GenerationSize, now: number): boolean {
  const group = groupOf(groups, size);
  if (group === 'other') return false;
  const all = Object.values(groups.counts);
  const sum = (rates: readonly DecayingRate[]) =>
    rates.reduce((total, rate) => total + decayedSum(rate, now), 0);
  const offered = decayedSum(groups.counts[group].offered, now);
  if (offered < MIN_OFFERED) return false;
  const sentShare = decayedSum(groups.counts[group].sent, now) / offered;
  const allShare = sum(all.map(({ sent }) => sent)) / sum(all.map((counts) => counts.offered));
  return sentShare < MIN_SENT_FRACTION * allShare;
}
