// An endpoint answers a long upload at its head, without a length, and breaks off before it has taken the
// upload: the part that has come must not look like the whole answer.
import { describe, itKnownRed, itSerial } from '@filbertlatch/core/testing';

import { ANSWER_PART, playEarlyAnswer, type EarlyAnswer } from './earlyAnswer.js';

const PATHS = ['/plain/', '/safe/', '/stream/', '/resumed/'];
const UPLOAD_BYTES = 4_194_304;

const basis: EarlyAnswer = { status: '200 OK', readsBytes: 0, end: 'reset', holdMs: 0 };

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
  itKnownRed('is not complete when it ends, and is reset later', async (t) => {
    const early: EarlyAnswer = { ...basis, end: 'end-then-reset' };
    const { answer } = await playEarlyAnswer(early, '/plain/', 1_048_576, false);
    t.false(answer?.status === 200 && answer.isComplete);
  });
});
