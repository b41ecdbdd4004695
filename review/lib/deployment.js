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
    await this.addRunners(service, runnerCount, runnerOptions);
    await this.fleet.start(FLEET_SIZE, this.store.address);
  }

  /** Starts runners of a service, and returns them. */
  async addRunners(service, count, options) {
    const added = Array.from({ length: count }, (_, index) => {
      const id = `i-${service.name}-${this.runners.length + index + 1}`;
      return new Runner(this.store, service.name, this.events, { id, ...options });
    });
    this.runners.push(...added);
    await Promise.all(added.map((runner) => runner.start()));
    return added;
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
