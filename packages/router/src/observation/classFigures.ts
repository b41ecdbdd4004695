import type { LatencyTarget, Outcome } from '@filbertlatch/core';
import type { Histogram } from 'hdr-histogram-js';

import { createHistogram, readPercentiles, recordMs, type Percentiles } from './latencies.js';

/** What is known of a request when it ends; instants are epoch milliseconds. */
export interface EndedRequest {
  readonly outcome: Outcome;
  readonly arrivedAt: number;
  readonly endedAt: number;
  readonly deadline: number;
  readonly firstTokenAt: number | null;
  readonly promptTokens: number;
  /** Tokens of the answer that the caller got whole; 0 when it got none. */
  readonly answerTokens: number;
  /** Tokens that endpoints produced over all attempts. */
  readonly producedTokens: number;
}

/** Counts of one class; each only rises within its slot. */
export interface ClassCounts {
  /** Requests that ended, without those whose caller left in time. */
  requests: number;
  /** Whole answers within every latency target. */
  met: number;
  /** Whole answers within the window. */
  inWindow: number;
  shed: number;
  failed: number;
  abandoned: number;
  producedTokens: number;
  wastedTokens: number;
  /** Prompt and answer tokens that engines worked on. */
  workedTokens: number;
}

/** Counts and times of one class in one slot of time. */
export interface ClassSlot {
  readonly counts: ClassCounts;
  readonly firstToken: Histogram;
  readonly betweenTokens: Histogram;
  readonly whole: Histogram;
}

/** Attainment of one class over the window. */
export interface ClassFigures extends ClassCounts {
  /** Part of the requests that met every latency target, 0 to 1; null without requests. */
  readonly attainment: number | null;
  /** Part of the requests answered whole within the window, 0 to 1; null without requests. */
  readonly goodput: number | null;
  /** Part of the produced tokens that nobody received in time, 0 to 1; null without tokens. */
  readonly waste: number | null;
  readonly firstTokenMs: Percentiles;
  readonly betweenTokensMs: Percentiles;
  readonly wholeMs: Percentiles;
}

/** Creates the counts of a class that had no request yet. */
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
    workedTokens: 0,
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
  // A caller that left in time took its question back; one that left late was not served.
  const tookBack = outcome === 'abandoned' && ended.endedAt <= ended.deadline;
  if (!tookBack) counts.requests += 1;
  if (meetsTarget(ended, target)) counts.met += 1;
  if (outcome === 'complete') counts.inWindow += 1;
  if (outcome === 'shed' || outcome === 'refused') counts.shed += 1;
  if (outcome === 'failed') counts.failed += 1;
  if (outcome === 'abandoned') counts.abandoned += 1;
  const useful = outcome === 'complete' ? ended.answerTokens : 0;
  counts.producedTokens += ended.producedTokens;
  counts.wastedTokens += Math.max(0, ended.producedTokens - useful);
  if (ended.producedTokens > 0) counts.workedTokens += ended.promptTokens + ended.producedTokens;
}

/** Adds an ended request to a slot. */
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

function part(count: number, all: number): number | null {
  return all === 0 ? null : count / all;
}

/** Sums up the slots of one class. */
export function summarizeSlots(slots: readonly ClassSlot[]): ClassFigures {
  const sum = createCounts();
  for (const { counts } of slots) {
    for (const name of Object.keys(sum) as (keyof ClassCounts)[]) sum[name] += counts[name];
  }
  return {
    ...sum,
    attainment: part(sum.met, sum.requests),
    goodput: part(sum.inWindow, sum.requests),
    waste: part(sum.wastedTokens, sum.producedTokens),
    firstTokenMs: readPercentiles(slots.map((slot) => slot.firstToken)),
    betweenTokensMs: readPercentiles(slots.map((slot) => slot.betweenTokens)),
    wholeMs: readPercentiles(slots.map((slot) => slot.whole)),
  };
}
