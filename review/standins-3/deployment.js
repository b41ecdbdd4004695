import { Fleet, Store } from './project.js';
import { Runner } from './runner.js';
import { StoreLink } from './storeLink.js';

/** Time after the start until the machines count as in touch. */
const STABLE_WINDOW_MS = 3000;

export const HOST = 'ficu95.example';
export const KEY = 'xd9dnn2ctnfzs989anu6';

/** Resolves after a time. */
export function sleep(ms) {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Returns a config as the operator writes it. */
export function createConfig(version, { routes, services }) {
  return {
    version,
    routes: routes.map((route) => ({ host: HOST, priority: 1, public: false, ...route })),
    services: services.map((name) => ({
      name,
      health_path: '/health',
      max_conns: 110,
      protocol: 'h1',
      tls: false,
    })),
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: 'huka270', api_keys: [KEY], priority: 1 }],
  };
}

/** A small deployment: the store, runners, and processes of the deploy file's role. */
export class Deployment {
  store = new Store();

  /** The way of the machines to the store; null before the start. */
  storeLink = null;

  runners = [];

  #fleet = new Fleet();

  /** The processes of the system. */
  get machines() {
    return this.#fleet.gateways;
  }

  /** Starts all, and waits until the machines are in touch. */
  async start({ config, runners, machineCount }) {
    await this.store.start();
    this.store.put('op/config', config);
    for (const { id, ...options } of runners) {
      const runner = new Runner(this.store, id, options);
      await runner.start();
      this.runners.push(runner);
    }
    this.storeLink = new StoreLink(this.store.address);
    await this.storeLink.start();
    await this.#fleet.start(machineCount, this.storeLink.address);
    await sleep(STABLE_WINDOW_MS);
  }

  /** Ends all processes and closes all ports. */
  async stop() {
    await this.#fleet.stop();
    this.runners.forEach((runner) => runner.stop());
    this.storeLink?.stop();
    this.store.stop();
  }
}
