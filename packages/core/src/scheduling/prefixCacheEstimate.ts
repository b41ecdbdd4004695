import { sharedSegments } from './costs.js';
import type { GenerationSize } from './job.js';

/** A shared prompt segment and the engine that read it, so that its prefix cache holds it. */
export interface SegmentRead {
  readonly segmentId: string;
  readonly endpointId: string;
}

/** A read that is still to be sent to peers. */
interface UnsentRead {
  readonly read: SegmentRead;
  /** Messages that are left for it. */
  sendsLeft: number;
}

/** The segments that each engine's prefix cache should hold, judged by the VMs' requests. */
export interface PrefixCacheEstimate {
  /** Instant of the last read by segment id, then by engine id; at most `MAX_SEGMENTS`. */
  readonly reads: Map<string, Map<string, number>>;
  /** This VM's reads for peers, by segment and engine; at most `MAX_UNSENT_READS`, earliest first. */
  readonly unsentReads: Map<string, UnsentRead>;
}

/** Time after its last use for which a segment counts as cached: engines evict for memory. */
const RETENTION_MS = 20_000;

/** Number of messages to peers that contain each read, because a message may be lost. */
const SENDS_PER_READ = 2;

/** Largest number of reads in one message to peers. */
const MAX_READS_PER_MESSAGE = 64;

/** Most reads that wait to be sent; the earliest are dropped, of which the engine evicts first. */
const MAX_UNSENT_READS = 2048;

/** Most segments that are known; those known first are dropped. */
const MAX_SEGMENTS = 16_384;

/** Creates an estimate in which no engine holds a segment. */
export function createPrefixCacheEstimate(): PrefixCacheEstimate {
  return { reads: new Map(), unsentReads: new Map() };
}

/** Makes room for a new key: the first eighth at once, since each deletion slows the search for the next. */
function makeRoom(map: Map<string, unknown>, key: string, limit: number): void {
  if (map.size < limit || map.has(key)) return;
  let left = limit / 8;
  for (const first of map.keys()) {
    if (left === 0) return;
    map.delete(first);
    left -= 1;
  }
}

function setLastRead(
  { reads }: PrefixCacheEstimate,
  { segmentId, endpointId }: SegmentRead,
  now: number,
): void {
  makeRoom(reads, segmentId, MAX_SEGMENTS);
  const engines = reads.get(segmentId) ?? new Map<string, number>();
  engines.set(endpointId, now);
  reads.set(segmentId, engines);
}

function queueRead({ unsentReads }: PrefixCacheEstimate, read: SegmentRead): void {
  const key = `${read.segmentId} ${read.endpointId}`;
  makeRoom(unsentReads, key, MAX_UNSENT_READS);
  // One that waits already keeps its place, so that it is told however often it is renewed.
  unsentReads.set(key, { read, sendsLeft: SENDS_PER_READ });
}

/** Records that an engine reads a prompt's shared segments, and queues the reads for peers. */
export function recordReads(
  caches: PrefixCacheEstimate,
  endpointId: string,
  size: GenerationSize,
  now: number,
): void {
  for (const { id } of sharedSegments(size)) {
    const read = { segmentId: id, endpointId };
    setLastRead(caches, read, now);
    queueRead(caches, read);
  }
}

/** Takes the reads for the next message to peers; each is taken `SENDS_PER_READ` times. */
export function takeUnsentReads({ unsentReads }: PrefixCacheEstimate): SegmentRead[] {
  const taken: SegmentRead[] = [];
  for (const [key, unsent] of unsentReads) {
    if (taken.length === MAX_READS_PER_MESSAGE) break;
    taken.push(unsent.read);
    unsent.sendsLeft -= 1;
    if (unsent.sendsLeft === 0) unsentReads.delete(key);
  }
  return taken;
}

/** Records the reads that a peer reported. */
export function recordPeerReads(
  caches: PrefixCacheEstimate,
  reads: readonly SegmentRead[],
  now: number,
): void {
  reads.forEach((read) => setLastRead(caches, read, now));
}

/** Drops reads that are older than the retention time or of endpoints no longer known. */
export function dropStaleReads(
  { reads }: PrefixCacheEstimate,
  isKnown: (endpointId: string) => boolean,
  now: number,
): void {
  reads.forEach((engines, segmentId) => {
    engines.forEach((at, endpointId) => {
      if (now - at > RETENTION_MS || !isKnown(endpointId)) engines.delete(endpointId);
    });
    if (engines.size === 0) reads.delete(segmentId);
  });
}

/** Returns the prompt tokens that an engine must read: those from the first uncached segment on. */
export function uncachedTokens(
  { reads }: PrefixCacheEstimate,
  endpointId: string,
  size: GenerationSize,
  now: number,
): number {
  let cached = 0;
  for (const { id, tokens } of sharedSegments(size)) {
    const at = reads.get(id)?.get(endpointId);
    if (at === undefined || now - at > RETENTION_MS) break;
    cached += tokens;
  }
  return Math.max(0, size.promptTokens - cached);
}

/** Lists the ids of the engines that hold a segment. */
export function listSegmentHolders(
  { reads }: PrefixCacheEstimate,
  segmentId: string,
): Iterable<string> {
  return reads.get(segmentId)?.keys() ?? [];
}

/**
 * Returns the fewest prompt tokens to read at any engine that holds the last shared segment; all
 * tokens when there is none.
 */
export function minUncachedTokens(
  caches: PrefixCacheEstimate,
  size: GenerationSize,
  now: number,
): number {
  const last = sharedSegments(size).at(-1);
  let fewest = size.promptTokens;
  if (last === undefined) return fewest;
  for (const endpointId of listSegmentHolders(caches, last.id)) {
    fewest = Math.min(fewest, uncachedTokens(caches, endpointId, size, now));
  }
  return fewest;
}
