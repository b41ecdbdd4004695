import type { TransitPeer } from '@filbertlatch/core';

import type { AdmittedRequest } from './admitRequest.js';
import type { GatewayContext } from './gatewayContext.js';

/** Chooses the VMs by way of which one request goes. */
export class PeerChoice {
  readonly #context: Pick<GatewayContext, 'transits'>;

  readonly #admitted: AdmittedRequest;

  readonly #triedIds = new Set<string>();

  /** VMs that the request was sent to since it could go to any. */
  readonly #excludedIds = new Set<string>();

  constructor(context: Pick<GatewayContext, 'transits'>, admitted: AdmittedRequest) {
    this.#context = context;
    this.#admitted = admitted;
  }

  /** Ids of the VMs that the request was sent to, in order; undefined without any. */
  get triedIds(): string[] | undefined {
    return this.#triedIds.size === 0 ? undefined : [...this.#triedIds];
  }

  /** Returns the VM by way of which the request goes next; undefined when it goes directly. */
  choose(): TransitPeer | undefined {
    const { transit, job } = this.#admitted;
    if (transit !== null) return undefined;
    return this.#context.transits.choosePeer(job.serviceId, this.#excludedIds);
  }

  /** Records that the request is sent to a VM, which gets it no more until `allowTried`. */
  markTried(peerId: string): void {
    this.#triedIds.add(peerId);
    this.#excludedIds.add(peerId);
  }

  /** Lets the request go to VMs again that it was sent to. */
  allowTried(): void {
    this.#excludedIds.clear();
  }
}
