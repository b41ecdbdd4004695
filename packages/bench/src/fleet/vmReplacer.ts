import { setTimeout as sleep } from 'node:timers/promises';

import { createRouter, parseSettings, type Router } from '@filbertlatch/router';

import { OPERATOR_TOKEN, SHARED_KEY, type Fleet } from '../createFleet.js';
import type { Scenario } from '../scenario.js';

const READY_POLL_INTERVAL_MS = 50;

/** Time in which a leaving VM still accepts requests; longer than the load balancer's lag. */
export const DRAIN_GRACE_SECONDS = 2;

/** Time after which the load balancer has noticed that a VM is no longer ready. */
const BALANCER_LAG_MS = 1000;

/** One VM, with its state in the load balancer and in the published list. */
export interface FleetVm {
  readonly id: string;
  readonly zone: string;
  readonly router: Router;
  state: 'live' | 'leaving';
  /** Whether the load balancer sends requests to the VM. */
  isUp: boolean;
}

/** Replaces VMs of a fleet, and plays its load balancer and its publisher of VM lists. */
export class VmReplacer {
  readonly vms: FleetVm[];

  readonly #fleet: Fleet;

  readonly #scenario: Scenario;

  #listRevision = 1000;

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

  /**
   * Replaces the VM at an index of `vms` as an operator would: starts a new one, waits until it is
   * ready, and drains the old one. The new VM is appended to `vms`.
   */
  async replace(index: number): Promise<void> {
    const old = this.vms[index]!;
    const replacement = await this.#start(`${old.id}-new`, old.zone);
    this.vms.push(replacement);
    this.#publish();
    while (!replacement.router.isReady()) await sleep(READY_POLL_INTERVAL_MS);
    replacement.isUp = true;
    old.state = 'leaving';
    this.#publish();
    const drained = old.router.drain();
    await sleep(BALANCER_LAG_MS);
    old.isUp = false;
    await drained;
    this.vms.splice(this.vms.indexOf(old), 1);
    this.#publish();
  }

  /** Stops all VMs, without a drain. */
  async stop(): Promise<void> {
    await Promise.all(this.vms.map(({ router }) => router.stop()));
  }

  async #start(id: string, zone: string): Promise<FleetVm> {
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
    this.#listRevision += 1;
    const { region } = this.#scenario;
    this.#fleet.platform.publishList({
      revision: this.#listRevision,
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
