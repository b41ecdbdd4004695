import type { LatencyTarget, Outcome } from '@filbertlatch/core';
import type { Histogram } from 'hdr-histogram-js';

import { createHistogram, readPercentiles, recordMs, type Percentiles } from './latencies.js';

/** Progress and outcome of a request that ended; instants are epoch milliseconds. */
export interface EndedRequest {
  readonly outcome: Outcome;
  readonly arrivedAt: number;
  readonly endedAt: number;
  readonly deadline: number;
  readonly firstTokenAt: number | null;
  readonly promptTokens: number;
  /** Tokens of the complete answer; 0 without one. */
  readonly answerTokens: number;
  /** Tokens that endpoints produced in all attempts. */
  readonly producedTokens: number;
}

/** Counts of one class; they only increase. */
export interface ClassCounts {
  /** Requests that ended, except those whose caller left before the deadline. */
  requests: number;
  /** Complete answers that met every latency target. */
  met: number;
  /** Answers that were complete by the deadline. */
  inWindow: number;
  /** Requests that were shed or refused. */
  shed: number;
  failed: number;
  /** Requests whose caller left, whether or not the deadline had passed. */
  abandoned: number;
  producedTokens: number;
  /** Produced tokens that are not part of an answer complete by the deadline. */
  wastedTokens: number;
  /** Prompt and produced tokens of the requests that an endpoint produced tokens for. */
  processedTokens: number;
}

/** Counts and latency histograms of one class in one time slot. */
export interface ClassSlot {
  readonly counts: ClassCounts;
  readonly firstToken: Histogram;
  readonly betweenTokens: Histogram;
  readonly whole: Histogram;
}

/** Counts, ratios and latencies of one class over the sliding window. */
export interface ClassFigures extends ClassCounts {
  /** Fraction of requests that met every latency target, 0 to 1; null without requests. */
  readonly attainment: number | null;
  /** Fraction of requests answered completely by the deadline, 0 to 1; null without requests. */
  readonly goodput: number | null;
  /** Fraction of produced tokens that were wasted, 0 to 1; null without tokens. */
  readonly waste: number | null;
  readonly firstTokenMs: Percentiles;
  readonly betweenTokensMs: Percentiles;
  readonly wholeMs: Percentiles;
}

/** Creates counts that are all zero. */
export function createCounts(): ClassCounts {
  return {
    requests: 0,
    met: 0,
    inWindow: 0,
    shed: 0,
    failed: 0,
    abandoned: 0,
    producedTokens: 0,
    wastedTokens: 0,
    processedTokens: 0,
  };
}

/** Creates an empty slot. */
export function createSlot(): ClassSlot {
  return {
    counts: createCounts(),
    firstToken: createHistogram(),
    betweenTokens: createHistogram(),
    whole: createHistogram(),
  };
}

function betweenTokensMs(ended: EndedRequest): number | null {
  if (ended.firstTokenAt === null || ended.answerTokens < 2) return null;
  return (ended.endedAt - ended.firstTokenAt) / (ended.answerTokens - 1);
}

function meetsTarget(ended: EndedRequest, target: LatencyTarget): boolean {
  const wholeMs = ended.endedAt - ended.arrivedAt;
  const firstMs = (ended.firstTokenAt ?? ended.endedAt) - ended.arrivedAt;
  const gapMs = betweenTokensMs(ended) ?? 0;
  if (ended.outcome !== 'complete' || wholeMs > target.wholeMs) return false;
  return firstMs <= target.firstTokenMs && gapMs <= target.betweenTokensMs;
}

/** Adds an ended request to counts. */
export function addToCounts(counts: ClassCounts, ended: EndedRequest, target: LatencyTarget): void {
  const { outcome } = ended;
  // A caller that left by the deadline withdrew its request; one that left later was not served.
  const isWithdrawn = outcome === 'abandoned' && ended.endedAt <= ended.deadline;
  if (!isWithdrawn) counts.requests += 1;
  if (meetsTarget(ended, target)) counts.met += 1;
  if (outcome === 'complete') counts.inWindow += 1;
  if (outcome === 'shed' || outcome === 'refused') counts.shed += 1;
  if (outcome === 'failed') counts.failed += 1;
  if (outcome === 'abandoned') counts.abandoned += 1;
  const deliveredTokens = outcome === 'complete' ? ended.answerTokens : 0;
  counts.producedTokens += ended.producedTokens;
  counts.wastedTokens += Math.max(0, ended.producedTokens - deliveredTokens);
  if (ended.producedTokens > 0) counts.processedTokens += ended.promptTokens + ended.producedTokens;
}

/** Adds an ended request to the counts and histograms of a slot. */
export function addToSlot(slot: ClassSlot, ended: EndedRequest, target: LatencyTarget): void {
  addToCounts(slot.counts, ended, target);
  if (ended.firstTokenAt !== null) {
    recordMs(slot.firstToken, ended.firstTokenAt - ended.arrivedAt);
  }
  if (ended.outcome !== 'complete' && ended.outcome !== 'late') return;
  recordMs(slot.whole, ended.endedAt - ended.arrivedAt);
  const gapMs = betweenTokensMs(ended);
  if (gapMs !== null) recordMs(slot.betweenTokens, gapMs);
}

function fractionOf(count: number, all: number): number | null {
  return all === 0 ? null : count / all;
}

/** Combines the slots of one class into its figures. */
export function summarizeSlots(slots: readonly ClassSlot[]): ClassFigures {
  const sum = createCounts();
  for (const { counts } of slots) {
    for (const name of Object.keys(sum) as (keyof ClassCounts)[]) sum[name] += counts[name];
  }
  return {
    ...sum,
    attainment: fractionOf(sum.met, sum.requests),
    goodput: fractionOf(sum.inWindow, sum.requests),
    waste: fractionOf(sum.wastedTokens, sum.producedTokens),
    firstTokenMs: readPercentiles(slots.map((slot) => slot.firstToken)),
    betweenTokensMs: readPercentiles(slots.map((slot) => slot.betweenTokens)),
    wholeMs: readPercentiles(slots.map((slot) => slot.whole)),
  };
}
