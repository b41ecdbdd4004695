import { setTimeout as sleep } from 'node:timers/promises';

import { createRouter, parseSettings, type Router } from '@filbertlatch/router';

import { OPERATOR_TOKEN, SHARED_KEY, type Fleet } from '../createFleet.js';
import type { Scenario } from '../scenario.js';

const READY_POLL_MS = 50;

/** Time in which a leaving VM still takes requests; longer than the balancer's lag. */
export const DRAIN_GRACE_SECONDS = 2;

/** Time after which the balancer has noticed that a VM is no longer ready. */
const BALANCER_LAG_MS = 1000;

/** One VM as the balancer and the published list see it. */
export interface ReplacedVm {
  readonly id: string;
  readonly zone: string;
  readonly router: Router;
  state: 'live' | 'leaving';
  /** Whether the balancer sends there. */
  isUp: boolean;
}

/** The VMs of a fleet while they are replaced. */
export class Replacement {
  readonly vms: ReplacedVm[];

  readonly #fleet: Fleet;

  readonly #scenario: Scenario;

  #revision = 1000;

  constructor(fleet: Fleet, scenario: Scenario) {
    this.#fleet = fleet;
    this.#scenario = scenario;
    this.vms = fleet.routers.map((router, index) => ({
      id: `vm-${index}`,
      zone: scenario.zones[index % scenario.zones.length]!,
      router,
      state: 'live',
      isUp: true,
    }));
  }

  /** Starts a new VM for one of the list, then stops that one as an operator would. */
  async replace(index: number): Promise<void> {
    const old = this.vms[index]!;
    const fresh = await this.#start(`${old.id}-new`, old.zone);
    this.vms.push(fresh);
    this.#publish();
    while (!fresh.router.isReady()) await sleep(READY_POLL_MS);
    fresh.isUp = true;
    old.state = 'leaving';
    this.#publish();
    const drained = old.router.drain();
    await sleep(BALANCER_LAG_MS);
    old.isUp = false;
    await drained;
    this.vms.splice(this.vms.indexOf(old), 1);
    this.#publish();
  }

  /** Stops every VM at once. */
  async stop(): Promise<void> {
    await Promise.all(this.vms.map(({ router }) => router.stop()));
  }

  async #start(id: string, zone: string): Promise<ReplacedVm> {
    const { url } = this.#fleet.platform;
    const router = await createRouter(
      parseSettings({
        vm: { id, zone, region: this.#scenario.region },
        callers: { port: 0 },
        admin: { port: 0, operatorToken: OPERATOR_TOKEN },
        peers: { port: 0, sharedKey: SHARED_KEY },
        platform: { configurationUrl: url, listUrl: url },
        drainGraceSeconds: DRAIN_GRACE_SECONDS,
        logLevel: 'error',
        seed: this.vms.length + 1,
      }),
    );
    return { id, zone, router, state: 'live', isUp: false };
  }

  #publish(): void {
    this.#revision += 1;
    const { region } = this.#scenario;
    this.#fleet.platform.publishList({
      revision: this.#revision,
      vms: this.vms.map(({ id, zone, state, router }) => ({
        id,
        zone,
        region,
        state,
        peerUrl: router.peerUrl,
      })),
      leavingEndpoints: [],
    });
  }
}
