// An endpoint crashes behind a cut and starts again under its id: the ends of its old connections must not
// look like the ends of whole answers, though a health check made then is answered with that id.
import { describe, itSerial } from '@filbertlatch/core/testing';

import { playReborn, type RebornScenario } from './rebornFleet.js';
import { formatWholeAnswer } from './unframedEndpoint.js';

/** Paths of requests that run once, and of those that may be repeated. */
const ONCE_PATHS = ['/plain/', '/stream/'];
const PATHS = [...ONCE_PATHS, '/safe/', '/resumed/'];

const basis: RebornScenario = {
  restarts: true,
  isStoreAway: false,
  silentMs: 900,
  silence: 'within',
  headMs: 0,
  isFull: false,
  isByPeer: false,
  isKnown: true,
};

const restarts: Readonly<Record<string, Partial<RebornScenario>>> = {
  'behind a cut': {},
  'behind a cut, and is the first to answer so': { isKnown: false },
  'behind a cut while the store is away': { isStoreAway: true },
  'behind a cut, and is full': { isFull: true },
  'behind a cut from a peer': { isByPeer: true },
  'behind a cut that holds the head, too': { headMs: 110 },
  'behind a cut that holds the head, and is the first to answer so': {
    headMs: 110,
    isKnown: false,
  },
  'behind a cut that holds the head, and is full': { headMs: 110, isFull: true, isKnown: false },
  'behind a cut from a peer that holds the head': { headMs: 110, isByPeer: true },
};

describe('an answer without length and chunks whose endpoint restarts under its id', () => {
  Object.entries(restarts).forEach(([title, changes]) => {
    PATHS.forEach((path) => {
      itSerial(`${title} is complete only when it is whole: ${path}`, async (t) => {
        const { status, isComplete, body } =
          (await playReborn({ ...basis, ...changes }, path)) ?? {};
        t.log(JSON.stringify({ status, isComplete, body }));
        t.false(status === 200 && isComplete && body !== formatWholeAnswer(path));
      });
    });
  });
});

const pauses: Readonly<Record<string, Partial<RebornScenario>>> = {
  'within its answer': {},
  'within its answer, when it is the first to answer so': { isKnown: false },
  'within its answer while it is full': { isFull: true },
  'before the end of its answer': { silence: 'last' },
  'before its answer': { silence: 'before' },
  'before its answer, when it is the first to answer so': { silence: 'before', isKnown: false },
  'within its answer to a peer': { isByPeer: true },
};

describe('an answer without length and chunks whose endpoint pauses', () => {
  Object.entries(pauses).forEach(([title, changes]) => {
    ONCE_PATHS.forEach((path) => {
      itSerial(`${title} reaches the caller whole: ${path}`, async (t) => {
        const scenario = { ...basis, restarts: false, silentMs: 700, ...changes };
        const { status, isComplete, body } = (await playReborn(scenario, path)) ?? {};
        t.log(JSON.stringify({ status, isComplete, body }));
        t.is(status, 200);
        t.true(isComplete);
        t.is(body, formatWholeAnswer(path));
      });
    });
  });
});
