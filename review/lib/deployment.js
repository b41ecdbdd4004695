import { Fleet } from './gateways.js';
import { Runner } from './runners.js';
import { Store } from './store.js';

const FLEET_SIZE = 3;

/** A small deployment: the store, the runners of one service and three processes of the system. */
export class Deployment {
  store = new Store();

  fleet = new Fleet();

  /** What the runners have told, in order. */
  events = [];

  runners = [];

  /** Starts everything; `runnerOptions` say how the runners of `service` answer. */
  async start(configuration, service, runnerCount, runnerOptions) {
    await this.store.start();
    this.store.put('op/config', configuration);
    this.runners = Array.from(
      { length: runnerCount },
      (_, index) =>
        new Runner(this.store, service.name, this.events, {
          id: `i-${service.name}-${index + 1}`,
          ...runnerOptions,
        }),
    );
    await Promise.all(this.runners.map((runner) => runner.start()));
    await this.fleet.start(FLEET_SIZE, this.store.address);
  }

  /** Returns the runner that has begun to work on a request; undefined if none has. */
  findRunner(attemptId) {
    const run = this.events.find((event) => event.kind === 'run' && event.attemptId === attemptId);
    return this.runners.find(({ id }) => id === run?.runner);
  }

  /** Adds lines about what the runners have told and about processes that ended. */
  describe(record) {
    this.events.forEach(({ at, kind, runner, attemptId, event, isWhole }) => {
      if (kind === 'run') record.add(`runner ${runner} runs ${attemptId}`, at);
      if (kind === 'event') record.add(`runner ${runner} sends event ${event} of ${attemptId}`, at);
      if (kind === 'ended') {
        record.add(`runner ${runner} has ${isWhole ? 'answered' : 'lost'} ${attemptId}`, at);
      }
    });
    this.fleet.gateways.forEach(({ name, ends }) => {
      ends.forEach(({ at, code, signal }) => {
        record.add(`the process of ${name} has ended: code ${code}, signal ${signal}`, at);
      });
    });
  }

  /** Ends all processes. */
  async stop() {
    await this.fleet.stop();
    this.runners.forEach((runner) => runner.stop());
    this.store.stop();
  }
}

/** Adds lines about one client attempt. */
export function describeAttempt(record, { id, status, answer, error, text, sentAt, endedAt }) {
  const bytes = Buffer.byteLength(text, 'latin1');
  record.add(`client sends ${id}`, sentAt);
  record.add(
    `client of ${id} has got status ${status}, ${bytes} bytes, answer ${answer}, error ${error}`,
    endedAt,
  );
}
