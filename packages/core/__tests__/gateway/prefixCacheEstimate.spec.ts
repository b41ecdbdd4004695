// Prompts of many shared segments must not add to what is kept for peers faster than messages take it off:
// the process would end once the list has more entries than the stack holds.
import {
  createSchedulingState,
  recordPeerReads,
  recordReads,
  takeUnsentReads,
  uncachedTokens,
  type GenerationSize,
} from '../../src/index.js';
import { describe, it } from '../../src/testing/index.js';

const MAX_READS_PER_MESSAGE = 64;

/** A prompt of segments from `first` on, the last of which is its own. */
function createPrompt(first: number, segments: number): GenerationSize {
  return {
    promptTokens: 10 * segments,
    outputTokens: 60,
    segments: Array.from({ length: segments }, (_, index) => ({
      id: `segment-${first + index}`,
      tokens: 10,
    })),
  };
}

describe('the reads that are to be told to peers', () => {
  it('are told however many there are', (t) => {
    const caches = createSchedulingState('vm-1').prefixCaches;
    for (let prompt = 0; prompt < 600; prompt += 1) {
      recordReads(caches, 'e1', createPrompt(1000 * prompt, 1001), prompt);
    }
    t.notThrows(() => takeUnsentReads(caches));
    t.is(takeUnsentReads(caches).length, MAX_READS_PER_MESSAGE);
  });

  it('are told within ten seconds while prompts have the same segments', (t) => {
    const caches = createSchedulingState('vm-1').prefixCaches;
    for (let step = 0; step < 600; step += 1) {
      for (let request = 0; request < 8; request += 1) {
        const first = (7 * (8 * step + request)) % 100;
        recordReads(caches, `e${request % 4}`, createPrompt(first, 31), 100 * step);
      }
      takeUnsentReads(caches);
    }
    const marker = { ...createPrompt(0, 2), segments: createPrompt(5000, 2).segments };
    recordReads(caches, 'e1', marker, 60_000);
    const told = Array.from({ length: 100 }, () => takeUnsentReads(caches)).flat();
    t.true(told.some(({ segmentId }) => segmentId === 'segment-5000'));
  });

  it('are each told twice, since a message may be lost', (t) => {
    const caches = createSchedulingState('vm-1').prefixCaches;
    recordReads(caches, 'e1', createPrompt(0, 3), 0);
    const told = Array.from({ length: 4 }, () => takeUnsentReads(caches).length);
    t.deepEqual(told, [2, 2, 0, 0]);
  });
});

describe('the segments that engines are known to hold', () => {
  const LIMIT = 16_384;

  it('are as many as a process has room for, the latest ones', (t) => {
    const caches = createSchedulingState('vm-1').prefixCaches;
    const latest = createPrompt(100_000, 3);
    recordReads(caches, 'e1', createPrompt(0, 50_001), 0);
    recordReads(caches, 'e1', latest, 1);
    t.true(caches.reads.size <= LIMIT);
    t.is(uncachedTokens(caches, 'e1', latest, 2), 10);
  });

  it('are as many when peers tell of them', (t) => {
    const caches = createSchedulingState('vm-1').prefixCaches;
    for (let index = 0; index < 50_000; index += 1) {
      recordPeerReads(caches, [{ segmentId: `segment-${index}`, endpointId: 'e1' }], index);
    }
    t.true(caches.reads.size <= LIMIT);
  });
});
