import { CoreFleet, describe, it, publishTable } from '@filbertlatch/core/testing';

import {
  FADE_MS,
  judgeRequest,
  listCrashes,
  type ActionOf,
  type AttemptEnd,
  type Refusal,
  type Request,
  type Vm,
} from '../src/index.js';

const vms: readonly Vm[] = ['a', 'b', 'c', 'a'].map((zone, index) => ({
  id: `vm-${index}`,
  peerUrl: `http://127.0.0.1:${9000 + index}`,
  zone,
  region: 'region-1',
  state: 'live',
}));

const engines = Array.from({ length: 6 }, (_, index) => ({
  id: `engine-${index}`,
  kind: 'engine',
  url: `http://127.0.0.1:${9100 + index}`,
  zone: 'a',
  region: 'region-1',
  slots: 8,
  models: ['small'],
  fencing: 'checked',
}));

const RESET: AttemptEnd = {
  kind: 'failed',
  cause: 'reset',
  verdict: 'may-have-run',
  delivered: 0,
  status: null,
  retryAfterMs: null,
};
const COMPLETE: AttemptEnd = { kind: 'complete', outputTokens: 5 };
const POISON = 'poison';
const ANSWER_MS = 300;
const STEP_MS = 100;

interface Running {
  readonly vm: string;
  readonly action: ActionOf<'dispatch'>;
  readonly endsAt: number;
}

/** Engines that crash, with all they run, whenever the poisonous request starts on them. */
class PoisonedFleet {
  readonly fleet = new CoreFleet(7);

  readonly refusals = new Map<string, Refusal>();

  readonly outcomes = new Map<string, string>();

  crashes = 0;

  readonly #seen = new Map<string, number>();

  #running: Running[] = [];

  constructor(rows = engines) {
    this.fleet.platform.list = { revision: 1, vms: [...vms], leavingEndpoints: [] };
    this.fleet.platform.table = publishTable(1, 2, { endpoints: rows });
    vms.forEach((vm) => this.fleet.start(vm));
    this.run(4000);
  }

  send(vm: string, id: string, fingerprint: string, repeatable = true): void {
    const request: Request = {
      id,
      accountId: 'station',
      classId: 'headline',
      pool: 'model:small',
      arrivedAt: this.fleet.now,
      deadline: this.fleet.now + 60_000,
      promptTokens: 10,
      maxOutputTokens: 10,
      prefixes: [],
      repeatable,
      key: null,
      fingerprint,
    };
    this.fleet.post(vm, { kind: 'request-arrived', request });
  }

  run(ms: number): void {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      this.fleet.run(STEP_MS);
      this.#takeActions();
      this.#endAttempts();
    }
  }

  #takeActions(): void {
    for (const [vm, node] of this.fleet.nodes) {
      const from = this.#seen.get(vm) ?? 0;
      this.#seen.set(vm, node.sent.length);
      for (const action of node.sent.slice(from)) {
        if (action.kind === 'dispatch') {
          this.#running.push({ vm, action, endsAt: this.fleet.now + ANSWER_MS });
        }
        if (action.kind === 'refuse') this.refusals.set(action.requestId, action.refusal);
        if (action.kind === 'request-ended') this.outcomes.set(action.requestId, action.outcome);
      }
    }
  }

  #endAttempts(): void {
    const isPoison = ({ action }: Running) => action.request.fingerprint === POISON;
    const crashed = new Set(this.#running.filter(isPoison).map((r) => r.action.endpoint.id));
    this.crashes += crashed.size;
    const ended = this.#running.filter(
      ({ action, endsAt }) => crashed.has(action.endpoint.id) || endsAt <= this.fleet.now,
    );
    this.#running = this.#running.filter((running) => !ended.includes(running));
    ended.forEach(({ vm, action }) => {
      const end = crashed.has(action.endpoint.id) ? RESET : COMPLETE;
      this.fleet.post(vm, { kind: 'attempt-ended', attemptId: action.attempt.id, end });
    });
  }
}

describe('a request that crashes each endpoint that runs it', () => {
  it('stops at three crashes fleet-wide, however often its caller sends it again', (t) => {
    const poisoned = new PoisonedFleet();
    for (let again = 0; again < 12; again += 1) {
      poisoned.send(vms[again % vms.length]!.id, `bad-${again}`, POISON);
      poisoned.run(1500);
    }
    t.is(poisoned.crashes, 3);
    t.is(poisoned.outcomes.size, 12);
    t.is(poisoned.refusals.get('bad-11')?.code, 'suspect_request');
    t.is(poisoned.refusals.get('bad-11')?.verdict, 'not-run');
    t.false(poisoned.refusals.get('bad-11')?.retryable);
    t.is(poisoned.refusals.get('bad-0')?.verdict, 'may-have-run');
  });

  it('stops at three crashes when it is not repeatable and resent to another VM each time', (t) => {
    const poisoned = new PoisonedFleet();
    for (let again = 0; again < 12; again += 1) {
      poisoned.send(vms[again % vms.length]!.id, `bad-${again}`, POISON, false);
      poisoned.run(500);
    }
    t.is(poisoned.crashes, 3);
    t.is(poisoned.refusals.get('bad-11')?.code, 'suspect_request');
  });

  it('stops at three crashes when the resend comes before the news of the third', (t) => {
    const poisoned = new PoisonedFleet();
    poisoned.send('vm-0', 'bad-0', POISON);
    for (let waited = 0; !poisoned.outcomes.has('bad-0') && waited < 100; waited += 1) {
      poisoned.run(STEP_MS);
    }
    t.is(poisoned.crashes, 3);
    const { core } = poisoned.fleet.node('vm-1');
    // What a resend on the heels of the answer meets: the news of two crashes only.
    const known = core.suspects.evidence.get(POISON)!.crashes;
    const last = [...known].at(-1)!;
    known.delete(last[0]);
    poisoned.send('vm-1', 'bad-1', POISON);
    poisoned.fleet.run(STEP_MS);
    known.set(...last);
    poisoned.run(5000);
    t.is(poisoned.crashes, 3);
    t.is(poisoned.refusals.get('bad-1')?.code, 'suspect_request');
  });

  it('stops at three crashes when each retry begins in the instant of the crash', (t) => {
    const poisoned = new PoisonedFleet(engines.slice(0, 1));
    for (let again = 0; again < 4; again += 1) {
      poisoned.send(vms[again % vms.length]!.id, `bad-${again}`, POISON);
      poisoned.run(4000);
    }
    t.is(poisoned.crashes, 3);
  });

  it('stops at three crashes where one endpoint serves the pool alone', (t) => {
    const poisoned = new PoisonedFleet(engines.slice(0, 1));
    for (let again = 0; again < 12; again += 1) {
      poisoned.send(vms[again % vms.length]!.id, `bad-${again}`, POISON, false);
      poisoned.run(3000);
    }
    t.is(poisoned.crashes, 3);
  });

  it('takes no innocent request of its batches with it', (t) => {
    const poisoned = new PoisonedFleet();
    for (let index = 0; index < 24; index += 1) {
      poisoned.send(vms[index % vms.length]!.id, `good-${index}`, `good-${index}`);
    }
    poisoned.send('vm-0', 'bad', POISON);
    poisoned.run(20_000);
    t.is(poisoned.crashes, 3);
    const good = [...poisoned.outcomes].filter(([id]) => id.startsWith('good-'));
    t.is(good.length, 24);
    good.forEach(([id, outcome]) => t.is(outcome, 'complete', id));
  });

  it('tells the truth about innocents that are not repeatable', (t) => {
    const poisoned = new PoisonedFleet();
    for (let index = 0; index < 12; index += 1) {
      poisoned.send('vm-0', `good-${index}`, `good-${index}`, false);
    }
    poisoned.send('vm-0', 'bad', POISON);
    poisoned.run(20_000);
    const good = [...poisoned.outcomes].filter(([id]) => id.startsWith('good-'));
    t.is(good.length, 12);
    for (const [id, outcome] of good) {
      if (outcome !== 'complete') t.is(poisoned.refusals.get(id)?.verdict, 'may-have-run', id);
    }
  });

  it('is believed again after the evidence has faded', (t) => {
    const poisoned = new PoisonedFleet();
    poisoned.send('vm-0', 'bad', POISON);
    poisoned.run(5000);
    const { core } = poisoned.fleet.node('vm-3');
    t.is(judgeRequest(core.suspects, POISON, poisoned.fleet.now), 'refused');
    t.is(judgeRequest(core.suspects, POISON, poisoned.fleet.now + FADE_MS), 'innocent');
  });

  it('is told of in heartbeats of bounded size', (t) => {
    const poisoned = new PoisonedFleet();
    const { core } = poisoned.fleet.node('vm-0');
    for (let index = 0; index < 100; index += 1) {
      poisoned.send('vm-0', `r-${index}`, `f-${index}`, false);
      poisoned.run(STEP_MS);
      core.attempts.forEach(({ attempt }) => {
        poisoned.fleet.post('vm-0', { kind: 'attempt-ended', attemptId: attempt.id, end: RESET });
      });
    }
    t.true(core.suspects.evidence.size > 16);
    t.true(listCrashes(core.suspects, poisoned.fleet.now).length <= 16);
  });
});
