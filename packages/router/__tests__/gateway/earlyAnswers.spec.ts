// An endpoint answers a long upload at its head, without a length, and breaks off before it has taken the
// upload: the part that has come must not look like the whole answer.
import { describe, itSerial } from '@filbertlatch/core/testing';

import { ANSWER_PART, playEarlyAnswer, type EarlyAnswer } from './earlyAnswer.js';

const PATHS = ['/plain/', '/safe/', '/stream/', '/resumed/'];
const UPLOAD_BYTES = 4_194_304;

const basis: EarlyAnswer = {
  ...{ status: '200 OK', readsBytes: 0, end: 'reset', holdMs: 0 },
  resetAfterMs: 30,
};

const ends: Readonly<Record<string, Partial<EarlyAnswer>>> = {
  'is reset at once': {},
  'is reset later': { holdMs: 30 },
  'ends, and is reset later': { end: 'end-then-reset' },
  'ends after a part of the upload, and is reset later': {
    ...{ end: 'end-then-reset', readsBytes: 262_144 },
  },
  'ends, and nothing follows': { end: 'end' },
};

describe('an answer without length and chunks to an upload that is still being written', () => {
  [false, true].forEach((isByPeer) => {
    Object.entries(ends).forEach(([title, changes]) => {
      PATHS.forEach((path) => {
        const way = isByPeer ? ', by way of a peer' : '';
        itSerial(`is not complete when it ${title}${way}: ${path}`, async (t) => {
          const early = { ...basis, ...changes };
          const { answer, runs } = await playEarlyAnswer(early, path, UPLOAD_BYTES, isByPeer);
          const { status, isComplete } = answer ?? {};
          t.log(JSON.stringify({ status, isComplete, runs }));
          t.false(status === 200 && isComplete);
          if (path === '/plain/' || path === '/stream/') t.true(runs <= 1);
        });
      });
    });
  });

  [false, true].forEach((isByPeer) => {
    PATHS.forEach((path) => {
      const way = isByPeer ? ', by way of a peer' : '';
      itSerial(`is whole when the upload is read before it ends${way}: ${path}`, async (t) => {
        const early: EarlyAnswer = { ...basis, end: 'end', readsBytes: UPLOAD_BYTES };
        const { answer } = await playEarlyAnswer(early, path, UPLOAD_BYTES, isByPeer);
        t.is(answer?.status, 200);
        t.true(answer?.isComplete);
        t.is(answer?.body, ANSWER_PART);
      });
    });
  });
});

describe('an answer without length and chunks to an upload that fits into buffers', () => {
  const resets: readonly (readonly [bodyBytes: number, resetAfterMs: number])[] = [
    [70_000, 30],
    [300_000, 5],
    [300_000, 30],
    [300_000, 100],
    [300_000, 300],
    [1_048_576, 30],
  ];
  [false, true].forEach((isByPeer) => {
    const way = isByPeer ? ', by way of a peer' : '';
    resets.forEach(([bodyBytes, resetAfterMs]) => {
      PATHS.forEach((path) => {
        const title = `is not complete when a reset follows ${resetAfterMs} ms after its end`;
        itSerial(`${title}${way}: ${bodyBytes} bytes, ${path}`, async (t) => {
          const early: EarlyAnswer = { ...basis, end: 'end-then-reset', resetAfterMs };
          const { answer, runs } = await playEarlyAnswer(early, path, bodyBytes, isByPeer);
          t.false(answer?.status === 200 && answer.isComplete);
          if (path === '/plain/' || path === '/stream/') t.true(runs <= 1);
        });
      });
    });
  });
});

describe('an answer without length and chunks of an endpoint that has read the upload', () => {
  const reads: Readonly<Record<string, Partial<EarlyAnswer>>> = {
    'ends at once': { end: 'end' },
    'is closed at once': { end: 'close' },
    'ends later': { end: 'end', holdMs: 30 },
  };
  [false, true].forEach((isByPeer) => {
    const way = isByPeer ? ', by way of a peer' : '';
    Object.entries(reads).forEach(([title, changes]) => {
      [100, 70_000, 300_000, 1_048_576, 4_194_304].forEach((bodyBytes) => {
        PATHS.forEach((path) => {
          itSerial(`is whole when it ${title}${way}: ${bodyBytes} bytes, ${path}`, async (t) => {
            const early = { ...basis, ...changes, readsBytes: bodyBytes };
            const { answer } = await playEarlyAnswer(early, path, bodyBytes, isByPeer);
            t.is(answer?.status, 200);
            t.true(answer?.isComplete);
            t.is(answer?.body, ANSWER_PART);
          });
        });
      });
    });
  });

  PATHS.forEach((path) => {
    itSerial(`is whole when its deadline ends the wait for a reset: ${path}`, async (t) => {
      const early: EarlyAnswer = { ...basis, end: 'end', readsBytes: 300_000 };
      const { answer } = await playEarlyAnswer(early, path, 300_000, false, 300);
      t.is(answer?.status, 200);
      t.true(answer?.isComplete);
      t.is(answer?.body, ANSWER_PART);
    });
  });
});
