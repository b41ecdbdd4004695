import {
  createLoopDelayState,
  listenedMs,
  listenedSince,
  recordBeat,
  recordTurn,
  unreadAgeMs,
} from '../src/index.js';
import { describe, it } from '../src/testing/index.js';

const START = 1_000_000;

describe('the delay of an event loop', () => {
  const create = () => createLoopDelayState({ at: START, idleMs: 0 });

  describe('bounds the age of what is unread', () => {
    it('by the time for which it was busy since the poll before', (t) => {
      const state = create();
      recordTurn(state, { at: START + 50, idleMs: 40 });
      recordTurn(state, { at: START + 90, idleMs: 70 });
      t.is(unreadAgeMs(state, { at: START + 95, idleMs: 72 }), 13);
    });

    it('by a standstill in the present turn', (t) => {
      const state = create();
      recordTurn(state, { at: START + 10, idleMs: 5 });
      t.true(unreadAgeMs(state, { at: START + 1510, idleMs: 5 }) >= 1500);
    });

    it('by a standstill in the turn before, whose sockets are read only now', (t) => {
      const state = create();
      recordTurn(state, { at: START + 10, idleMs: 5 });
      recordTurn(state, { at: START + 1510, idleMs: 5 });
      t.true(unreadAgeMs(state, { at: START + 1512, idleMs: 5 }) >= 1500);
    });

    it('by little once the sockets have been read after a standstill', (t) => {
      const state = create();
      recordTurn(state, { at: START + 1510, idleMs: 5 });
      recordBeat(state, START + 1510);
      recordTurn(state, { at: START + 1515, idleMs: 5 });
      recordTurn(state, { at: START + 1520, idleMs: 5 });
      t.is(unreadAgeMs(state, { at: START + 1522, idleMs: 5 }), 7);
    });

    it('by all the time that passed when the process was not run while it waited', (t) => {
      const state = create();
      recordTurn(state, { at: START + 10, idleMs: 5 });
      t.true(unreadAgeMs(state, { at: START + 1500, idleMs: 1490 }) >= 1490);
    });
  });

  describe('tells for how long a process has listened', () => {
    it('as all the time while its heartbeats are on time', (t) => {
      const state = create();
      for (let at = START + 100; at <= START + 500; at += 105) recordBeat(state, at);
      t.is(listenedMs(state, START, START + 500), 500);
    });

    it('with short delays of its heartbeats, between which it polls', (t) => {
      const state = create();
      for (let at = START + 180; at <= START + 1080; at += 180) recordBeat(state, at);
      t.is(listenedMs(state, START, START + 1100), 1100);
    });

    it('without a standstill that has ended, or goes on', (t) => {
      const state = create();
      t.is(recordBeat(state, START + 1600), 1500);
      t.is(listenedMs(state, START, START + 1700), 200);
      t.is(listenedMs(state, START + 1600, START + 1700), 100);
      t.is(listenedMs(state, START, START + 2700), 200);
    });

    it('without the part of a standstill that was after the instant', (t) => {
      const state = create();
      recordBeat(state, START + 1600);
      t.is(listenedMs(state, START + 1000, START + 1650), 50);
    });

    it('since the instant after which it has listened for so long', (t) => {
      const state = create();
      recordBeat(state, START + 1600);
      recordBeat(state, START + 1700);
      recordBeat(state, START + 2700);
      t.is(listenedSince(state, 50, START + 2750), START + 2700);
      t.is(listenedSince(state, 200, START + 2750), START + 1600 + 50);
      t.is(listenedSince(state, 300, START + 2750), START + 50);
      t.is(listenedMs(state, START + 50, START + 2750), 300);
      t.is(listenedSince(state, 250, START + 4750), START + 1600 + 50);
    });
  });
});
