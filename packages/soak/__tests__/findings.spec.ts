// Each check is shown to fail on evidence of the fault, and to pass what the rules allow.
import { describe, it } from '@filbertlatch/core/testing';

import type { Evidence, SeenRequest } from '../src/evidence.js';
import { countExcused, findBrokenRules } from '../src/findings.js';
import { STREAM_EVENTS } from '../src/traffic.js';

const SENT_AT = 100_000;

const allEvents = Array.from({ length: STREAM_EVENTS }, (_, index) => index + 1);

const wholeStream: SeenRequest = {
  id: 'a1',
  kind: 'stream',
  vm: 'vm-1',
  timeoutMs: 10_000,
  dueEvents: STREAM_EVENTS,
  sentAt: SENT_AT,
  writtenAt: SENT_AT + 1,
  endedAt: SENT_AT + 2000,
  connection: null,
  isReused: true,
  status: 200,
  answer: 'whole',
  error: null,
  events: allEvents,
  versions: ['1'],
  isRight: true,
  key: null,
};

const cutStream: SeenRequest = { ...wholeStream, answer: 'cut', events: [1, 2, 3] };

const unansweredRequest: SeenRequest = {
  ...wholeStream,
  kind: 'once',
  dueEvents: 0,
  status: null,
  answer: 'none',
  events: [],
};

function createEvidence(request: SeenRequest, fields: Partial<Evidence> = {}): Evidence {
  const run = {
    id: request.id,
    endpoint: 'i-1',
    at: SENT_AT + 10,
    endedAt: request.endedAt,
    events: null,
  };
  return {
    startedAt: SENT_AT,
    requests: [request],
    runs: [run],
    signals: [],
    ends: [],
    kills: [],
    silences: [],
    harms: [],
    keys: [],
    storeFailures: [],
    troubles: [],
    hasSparePlaces: true,
    configurations: [],
    memory: { limitBytes: 200e6, excesses: [], peaks: {} },
    shortages: [],
    played: [],
    ...fields,
  };
}

function listRules(evidence: Evidence): string[] {
  return findBrokenRules(evidence).map(({ rule }) => rule);
}

const stop = { vm: 'vm-1', at: SENT_AT + 500, signal: 'SIGTERM' };
const end = { vm: 'vm-1', startedAt: SENT_AT - 9000, at: SENT_AT + 2000, code: 0, signal: null };

describe('findBrokenRules', () => {
  it('finds nothing in a whole answer', (t) => {
    t.deepEqual(listRules(createEvidence(wholeStream)), []);
  });

  describe('LOST', () => {
    it('finds a stream that is cut after its head', (t) => {
      t.deepEqual(listRules(createEvidence(cutStream)), ['LOST']);
    });

    it('finds a request that ran and got no answer', (t) => {
      t.deepEqual(listRules(createEvidence(unansweredRequest)), ['LOST']);
    });

    it('finds a cut stream beside a signal, a configuration and the end of another endpoint', (t) => {
      const fields = {
        signals: [stop],
        kills: [{ endpoint: 'i-2', at: SENT_AT + 1000 }],
        configurations: [SENT_AT + 1500],
      };
      t.deepEqual(listRules(createEvidence(cutStream, fields)), ['LOST']);
    });

    it('passes refusals of callers that bring a VM to its limits, and finds other failures', (t) => {
      const list = (status: number, fields: Partial<SeenRequest> = {}) => {
        const request = {
          ...unansweredRequest,
          kind: 'repeatable',
          status,
          answer: 'whole',
        } as const;
        return listRules(createEvidence({ ...request, stress: 'floods', ...fields }));
      };
      t.deepEqual(
        [200, 408, 413, 429, 503].flatMap((status) => list(status)),
        [],
      );
      t.deepEqual(
        [400, 500, 502, 504].flatMap((status) => list(status)),
        Array(4).fill('LOST'),
      );
      t.deepEqual(list(200, { answer: 'cut' }), ['LOST']);
      t.deepEqual(list(502, { endedAt: SENT_AT + 9500 }), []);
    });

    it('passes a request whose last run had no end, and finds one that ran on elsewhere', (t) => {
      const run = { id: cutStream.id, endpoint: 'i-1', endedAt: null, events: null };
      const endless = { ...run, at: SENT_AT + 10, isEndless: true };
      const sound = { ...run, endpoint: 'i-2', at: SENT_AT + 20, isEndless: false };
      t.deepEqual(listRules(createEvidence(cutStream, { runs: [endless] })), []);
      t.deepEqual(listRules(createEvidence(cutStream, { runs: [endless, sound] })), ['LOST']);
      t.deepEqual(listRules(createEvidence(wholeStream, { runs: [endless, sound] })), []);
      t.deepEqual(listRules(createEvidence(wholeStream, { runs: [endless] })), ['BYTES']);
    });

    describe('of requests that did not run', () => {
      const unread = { ...unansweredRequest, connection: 'closed', error: 'ECONNRESET' } as const;
      const quick = { ...unread, endedAt: SENT_AT + 201 };
      const list = (request: SeenRequest, fields: Partial<Evidence> = {}) =>
        listRules(createEvidence(request, { runs: [], ...fields }));
      const excuse = (request: SeenRequest, fields: Partial<Evidence> = {}) =>
        countExcused(createEvidence(request, { runs: [], ...fields }));

      it('finds one that was sent whole over 200 ms before its end, in calm and beside a signal', (t) => {
        t.deepEqual(list(unread), ['LOST']);
        t.deepEqual(list({ ...unread, connection: 'reset' }), ['LOST']);
        t.deepEqual(list({ ...quick, endedAt: SENT_AT + 202 }), ['LOST']);
        t.deepEqual(list(unread, { signals: [stop], configurations: [stop.at] }), ['LOST']);
        t.deepEqual(excuse(unread), {});
      });

      it('passes one whose close crossed it', (t) => {
        t.deepEqual(list(quick), []);
        t.deepEqual(excuse(quick), { 'ended within 200 ms of its last byte': 1 });
      });

      it('passes one that was never sent', (t) => {
        const refused = { ...unread, writtenAt: null, connection: 'refused' } as const;
        const unsent = { ...unread, writtenAt: null };
        t.deepEqual([...list(refused), ...list(unsent)], []);
        t.deepEqual(excuse(refused), { 'connection refused': 1 });
        t.deepEqual(excuse(unsent), { 'not sent whole': 1 });
      });

      it('passes one that a VM with few descriptors did not accept, but not on a kept connection', (t) => {
        const shortages = [{ vm: 'vm-1', from: SENT_AT - 1000, to: Infinity }];
        const fresh = { ...unread, isReused: false };
        t.deepEqual(list(fresh, { shortages }), []);
        t.deepEqual(list({ ...fresh, isReused: true }, { shortages }), ['LOST']);
        t.deepEqual(list(fresh, { shortages: [{ ...shortages[0]!, vm: 'vm-2' }] }), ['LOST']);
        t.deepEqual(list(fresh, { shortages: [{ ...shortages[0]!, to: SENT_AT - 1 }] }), ['LOST']);
      });

      it('passes one of a VM that was killed, stood still or had harmed links', (t) => {
        const kill = { signals: [{ ...stop, signal: 'SIGKILL' }] };
        const freeze = { signals: [{ ...stop, signal: 'SIGSTOP' }] };
        const harm = { vms: ['vm-1'], from: stop.at, to: stop.at, isStoreOnly: false, text: '' };
        t.deepEqual(excuse(unread, kill), { 'VM killed': 1 });
        t.deepEqual(excuse(unread, freeze), { 'VM stood still': 1 });
        t.deepEqual(excuse(unread, { harms: [harm] }), { 'links of the VM harmed': 1 });
        t.deepEqual(list(unread, { signals: [{ ...stop, vm: 'vm-2', signal: 'SIGKILL' }] }), [
          'LOST',
        ]);
      });
    });

    it('passes a request whose endpoint was killed while it ran', (t) => {
      const kills = [{ endpoint: 'i-1', at: SENT_AT + 1000 }];
      t.deepEqual(listRules(createEvidence(cutStream, { kills })), []);
    });

    it('passes a request of a VM whose links are harmed, or were, but not of another one', (t) => {
      const harm = { vms: ['vm-1'], from: SENT_AT - 4000, to: SENT_AT - 3000, text: '' };
      const list = (fields: object) =>
        listRules(
          createEvidence(cutStream, { harms: [{ ...harm, isStoreOnly: false, ...fields }] }),
        );
      t.deepEqual(list({}), []);
      t.deepEqual(list({ to: SENT_AT - 3001 }), ['LOST']);
      t.deepEqual(list({ from: cutStream.endedAt + 1, to: cutStream.endedAt + 2 }), ['LOST']);
      t.deepEqual(list({ vms: ['vm-2'] }), ['LOST']);
      t.deepEqual(list({ isStoreOnly: true }), ['LOST']);
    });

    it('finds a stream that is cut at a sound endpoint after another one was killed under it', (t) => {
      const run = {
        id: cutStream.id,
        endpoint: 'i-1',
        at: SENT_AT + 10,
        endedAt: null,
        events: null,
      };
      const runs = [run, { ...run, endpoint: 'i-2', at: SENT_AT + 1100 }];
      const kills = [{ endpoint: 'i-1', at: SENT_AT + 1000 }];
      t.deepEqual(listRules(createEvidence(cutStream, { runs, kills })), ['LOST']);
    });

    it('passes a request that has reached its time-out', (t) => {
      t.deepEqual(listRules(createEvidence({ ...cutStream, endedAt: SENT_AT + 10_000 })), []);
    });

    it('finds a stream that is cut beside a standstill of its VM, or the crash of another', (t) => {
      const standstill = { ...stop, signal: 'SIGSTOP' };
      t.deepEqual(listRules(createEvidence(cutStream, { signals: [standstill] })), ['LOST']);
      const crash = { ...stop, vm: 'vm-2', signal: 'SIGKILL' };
      t.deepEqual(listRules(createEvidence(cutStream, { signals: [crash] })), ['LOST']);
    });

    it('passes a request of a VM that was killed', (t) => {
      const signals = [{ ...stop, signal: 'SIGKILL' }];
      t.deepEqual(listRules(createEvidence(cutStream, { signals })), []);
    });

    it('passes a request at work at the end of the grace period, but not one after it', (t) => {
      const late = { ...cutStream, endedAt: SENT_AT + 8500 };
      t.deepEqual(listRules(createEvidence(late, { signals: [stop] })), []);
      const stopBefore = { ...stop, at: SENT_AT - 4000 };
      t.deepEqual(listRules(createEvidence(late, { signals: [stopBefore] })), ['LOST']);
    });

    it('passes a request that has used most of its time beside a configuration', (t) => {
      const late = { ...cutStream, endedAt: SENT_AT + 8000 };
      t.deepEqual(listRules(createEvidence(late, { configurations: [SENT_AT + 7000] })), []);
      t.deepEqual(listRules(createEvidence(late, { configurations: [SENT_AT] })), ['LOST']);
    });
  });

  describe('ORDER', () => {
    it('finds a stream that ends as complete before its last event', (t) => {
      const events = allEvents.slice(0, -1);
      t.deepEqual(listRules(createEvidence({ ...wholeStream, events })), ['ORDER']);
    });

    [
      { what: 'is missing', events: allEvents.filter((event) => event !== 7) },
      { what: 'comes twice', events: [...allEvents.slice(0, 7), ...allEvents.slice(6)] },
      { what: 'is out of order', events: [1, 3, 2, ...allEvents.slice(3)] },
    ].forEach(({ what, events }) => {
      it(`finds an event that ${what}`, (t) => {
        t.deepEqual(listRules(createEvidence({ ...wholeStream, events })), ['ORDER']);
      });
    });
  });

  it('finds a stream that joins two versions as ORDER', (t) => {
    t.deepEqual(listRules(createEvidence({ ...wholeStream, versions: ['1', '2'] })), ['ORDER']);
  });

  describe('FAULT', () => {
    it('passes a stop that was asked for, and a kill by the soak', (t) => {
      t.deepEqual(listRules(createEvidence(wholeStream, { signals: [stop], ends: [end] })), []);
      const signals = [{ ...stop, signal: 'SIGKILL' }];
      const ends = [{ ...end, code: null, signal: 'SIGKILL' }];
      t.deepEqual(listRules(createEvidence(wholeStream, { signals, ends })), []);
    });

    [
      { what: 'by itself', signals: [] },
      { what: 'after a standstill', signals: [{ ...stop, signal: 'SIGSTOP' }] },
      { what: 'by SIGHUP', signals: [{ ...stop, signal: 'SIGHUP' }], code: null, by: 'SIGHUP' },
      { what: 'by SIGTERM', signals: [stop, stop], code: null, by: 'SIGTERM' },
      { what: 'with a code', signals: [stop], code: 2, by: null },
    ].forEach(({ what, signals, code = 0, by = null }) => {
      it(`finds a process that ends ${what}`, (t) => {
        const ends = [{ ...end, code, signal: by }];
        t.deepEqual(listRules(createEvidence(wholeStream, { signals, ends })), ['FAULT']);
      });
    });

    it('finds a second end that only the first one was asked for', (t) => {
      const ends = [end, { ...end, startedAt: end.at + 500, at: end.at + 1000 }];
      t.deepEqual(listRules(createEvidence(wholeStream, { signals: [stop], ends })), ['FAULT']);
    });

    it('finds an end by itself after a signal that met no process, and says how old it was', (t) => {
      const ends = [{ ...end, startedAt: stop.at + 1 }];
      const [finding] = findBrokenRules(createEvidence(wholeStream, { signals: [stop], ends }));
      t.is(finding?.text, 'process ended 1499 ms after its start by itself: code 0, signal null');
    });

    it('finds a process that outlives the grace period, unless it stood still', (t) => {
      const ends = [{ ...end, at: stop.at + 8001 }];
      const list = (signals: Evidence['signals']) =>
        listRules(createEvidence(wholeStream, { signals, ends }));
      t.deepEqual(list([stop]), ['FAULT']);
      t.deepEqual(list([stop, { ...stop, signal: 'SIGSTOP' }]), []);
    });
  });

  it('finds a process that held more than its machine has', (t) => {
    const excesses = [{ vm: 'vm-1', at: SENT_AT, bytes: 201e6 }];
    const memory = { limitBytes: 200e6, excesses, peaks: { 'vm-1': 201e6 } };
    t.deepEqual(listRules(createEvidence(wholeStream, { memory })), ['MEMORY']);
  });

  describe('CALM', () => {
    const requests = Array.from({ length: 200 }, (_, index) => ({
      ...wholeStream,
      id: `a${index}`,
      status: index < 3 ? 503 : 200,
    }));
    const list = (fields: Partial<Evidence>) =>
      listRules(createEvidence(wholeStream, { requests, ...fields }));

    it('finds more than one in a hundred refused, also while the store fails', (t) => {
      t.deepEqual(list({}), ['CALM']);
      t.deepEqual(list({ requests: [wholeStream, ...requests.slice(1)] }), []);
    });

    it('passes refusals within 5 s of trouble, or without spare places', (t) => {
      t.deepEqual(list({ troubles: [{ from: SENT_AT - 5000, to: SENT_AT - 4000 }] }), []);
      t.deepEqual(list({ troubles: [{ from: SENT_AT - 6000, to: SENT_AT - 5000 }] }), ['CALM']);
      t.deepEqual(list({ hasSparePlaces: false }), []);
    });

    it('passes refusals while a VM drains, up to the end of the grace period', (t) => {
      const ends = [{ ...end, at: wholeStream.endedAt + 100 }];
      t.deepEqual(list({ signals: [{ ...stop, at: SENT_AT - 5900 }], ends }), []);
      const late = list({ signals: [{ ...stop, at: SENT_AT - 13_100 }], ends });
      t.deepEqual(late, ['CALM', 'FAULT']);
      t.deepEqual(list({ signals: [{ ...stop, signal: 'SIGHUP', at: SENT_AT - 5900 }] }), ['CALM']);
    });
  });

  it('finds an answer with other bytes as BYTES', (t) => {
    t.deepEqual(listRules(createEvidence({ ...wholeStream, isRight: false })), ['BYTES']);
  });

  describe('CONFIG', () => {
    const revokedAt = SENT_AT - 2500;
    const old = { key: 'old', addedAt: 0, revokedAt };
    const current = { key: 'new', addedAt: 0, revokedAt: null };
    const keyed: SeenRequest = {
      ...wholeStream,
      kind: 'once',
      dueEvents: 0,
      events: [],
      key: 'old',
    };
    const refused: SeenRequest = { ...keyed, id: 'a0', status: 401, key: 'old' };
    const list = (request: SeenRequest, fields: Partial<Evidence> = {}) =>
      listRules(createEvidence(request, { keys: [old, current], ...fields }));

    it('finds a request that runs over 2 s after its key was revoked', (t) => {
      t.deepEqual(list(keyed), ['CONFIG']);
      t.deepEqual(list(keyed, { keys: [{ ...old, revokedAt: SENT_AT - 1500 }] }), []);
      t.deepEqual(list(keyed, { runs: [] }), []);
    });

    it('finds a key in force that is refused', (t) => {
      const request = { ...refused, key: 'new' };
      t.deepEqual(list(request, { runs: [] }), ['CONFIG']);
      t.deepEqual(list(refused, { runs: [] }), []);
      const keys = [{ ...current, addedAt: SENT_AT - 1500 }];
      t.deepEqual(list(request, { runs: [], keys }), []);
    });

    it('passes both at a VM that is out of touch', (t) => {
      const span = { from: SENT_AT - 5000, to: SENT_AT - 2000 };
      t.deepEqual(list(keyed, { storeFailures: [span] }), []);
      const harms = [{ ...span, vms: ['vm-1'], isStoreOnly: true, text: '' }];
      t.deepEqual(list(keyed, { harms }), []);
      const signals = [{ ...stop, signal: 'SIGSTOP', at: SENT_AT - 2000 }];
      t.deepEqual(list(keyed, { signals }), []);
    });

    it('finds a VM that runs what it has refused, also while the store fails, but not anew', (t) => {
      const storeFailures = [{ from: SENT_AT, to: SENT_AT + 1000 }];
      const requests = [{ ...refused, endedAt: SENT_AT - 2100, sentAt: SENT_AT - 2200 }, keyed];
      t.deepEqual(list(keyed, { requests, storeFailures }), ['CONFIG']);
      const keys = [{ ...old, addedAt: SENT_AT - 1000, revokedAt: SENT_AT - 500 }];
      t.deepEqual(list(keyed, { requests, storeFailures, keys }), []);
      const restart = { signals: [stop], ends: [{ ...end, at: SENT_AT - 1000 }] };
      const signals = [{ ...stop, at: SENT_AT - 1500 }];
      t.deepEqual(list(keyed, { requests, storeFailures, ...restart, signals }), []);
    });
  });

  describe('a caller that leaves', () => {
    const request = { ...cutStream, answer: 'left' } as const;
    const run = { id: request.id, endpoint: 'i-1', at: SENT_AT + 10, endedAt: null, events: null };

    it('is not LOST', (t) => {
      t.deepEqual(listRules(createEvidence(request)), []);
    });

    it('finds a request that is sent over 1 s after its caller left as LATE', (t) => {
      const runAt = (at: number) => createEvidence(request, { runs: [run, { ...run, at }] });
      t.deepEqual(listRules(runAt(request.endedAt + 900)), []);
      t.deepEqual(listRules(runAt(request.endedAt + 1100)), ['LATE']);
    });

    it('passes one that lay at an endpoint that was stopped, but not at another', (t) => {
      const late = { ...run, at: request.endedAt + 1100 };
      const list = (to: number, endpoint = 'i-1') =>
        listRules(
          createEvidence(request, { runs: [late], silences: [{ endpoint, from: to - 1000, to }] }),
        );
      t.deepEqual(list(request.endedAt + 1000), []);
      t.deepEqual(list(request.endedAt - 1), ['LATE']);
      t.deepEqual(list(request.endedAt + 1000, 'i-2'), ['LATE']);
    });

    it('passes one that its VM sends after a standstill, but not over 3 s after it', (t) => {
      const late = { ...run, at: request.endedAt + 2000 };
      const list = (at: number, vm = 'vm-1') =>
        listRules(
          createEvidence(request, { runs: [late], signals: [{ vm, at, signal: 'SIGCONT' }] }),
        );
      t.deepEqual(list(request.endedAt + 1900), []);
      t.deepEqual(list(request.endedAt - 3001), ['LATE']);
      t.deepEqual(list(request.endedAt + 1900, 'vm-2'), ['LATE']);
    });
  });

  describe('beside harmed links', () => {
    const harms = [
      { vms: ['vm-1'], from: SENT_AT, to: SENT_AT + 2000, isStoreOnly: false, text: '' },
    ];
    const run = { id: 'a1', endpoint: 'i-1', at: SENT_AT + 10, endedAt: null, events: null };
    const once: SeenRequest = { ...wholeStream, kind: 'once', dueEvents: 0, events: [] };

    it('finds what no link excuses: ORDER, BYTES, TWICE, REFUSED', (t) => {
      const short = { ...wholeStream, events: allEvents.slice(0, -1) };
      t.deepEqual(listRules(createEvidence(short, { harms })), ['ORDER']);
      t.deepEqual(listRules(createEvidence({ ...wholeStream, isRight: false }, { harms })), [
        'BYTES',
      ]);
      t.deepEqual(listRules(createEvidence(once, { harms, runs: [run, run] })), ['TWICE']);
      t.deepEqual(listRules(createEvidence({ ...once, status: 503 }, { harms })), ['REFUSED']);
    });

    it('passes a request that reaches its endpoint late', (t) => {
      const left = { ...cutStream, answer: 'left' } as const;
      const late = { ...run, at: left.endedAt + 2000 };
      t.deepEqual(listRules(createEvidence(left, { harms, runs: [late] })), []);
      t.deepEqual(listRules(createEvidence(left, { runs: [late] })), ['LATE']);
    });
  });

  describe('TWICE and REFUSED', () => {
    const request: SeenRequest = { ...wholeStream, kind: 'once', dueEvents: 0, events: [] };
    const run = { id: request.id, endpoint: 'i-1', at: SENT_AT + 10, endedAt: null, events: null };

    it('finds a run-once request that ran twice', (t) => {
      const runs = [run, { ...run, endpoint: 'i-2' }];
      t.deepEqual(listRules(createEvidence(request, { runs })), ['TWICE']);
      t.deepEqual(listRules(createEvidence({ ...request, kind: 'repeatable' }, { runs })), []);
    });

    [429, 503].forEach((status) => {
      it(`finds a run-once request that was answered ${status} and ran`, (t) => {
        t.deepEqual(listRules(createEvidence({ ...request, status })), ['REFUSED']);
        t.deepEqual(listRules(createEvidence({ ...request, status }, { runs: [] })), []);
      });
    });
  });
});
